// Command lbinstance is the only program of an instance on the users' platform. It
// serves callers. The instance that holds the lease also gives upstreams the orders
// that form groups.
//
//	lbinstance -config FILE        run until SIGTERM or SIGINT; reload FILE on SIGHUP
//	lbinstance check -config FILE  validate the settings and exit
//	lbinstance settings            print a Markdown table of all settings
//
// Without arguments it reads the settings file that the platform wrote, if the
// platform's environment variable names one.
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/platform"
)

func main() {
	args := os.Args[1:]
	if file := platform.SettingsFile(); file != "" && len(args) == 0 {
		args = []string{"-config", file}
	}
	os.Exit(composer.RunInstance(args, newAdapter, os.Stdout, os.Stderr))
}

// newAdapter returns the adapter that connects an instance to the users' platform.
func newAdapter(s loader.Settings, network networker.Network, m *meter.Meter) composer.Adapter {
	store := platform.NewStore(s.Platform(), network)
	store.Meter = m
	return composer.Adapter{
		Store: store, Configurations: store.Configurations(), DecodeConfiguration: platform.DecodeConfiguration,
		Upstreams: store.Upstreams(), DecodeUpstream: platform.DecodeUpstream,
		Evacuations: store.Evacuations(), DecodeEvacuation: platform.DecodeEvacuation,
		Orders: platform.NewUpstreamClient(network), Protocol: platform.Protocol{}, ReadinessPath: platform.ReadinessPath, OnStoreReturn: store.OnReturn,
	}
}
