// Command lbinstance is the one program of an instance on the users' platform:
// it serves callers, and one of them gives the orders that form groups.
//
//	lbinstance -config FILE     run until SIGTERM; SIGHUP reads FILE again
//	lbinstance check -config FILE   only check the settings
//	lbinstance settings         print a table of all settings
//
// On the platform the settings file is found without -config.
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
	os.Exit(composer.RunInstance(args, adapt, os.Stdout, os.Stderr))
}

// adapt returns the adapter to the platform.
func adapt(s loader.Settings, network networker.Network, m *meter.Meter) composer.Adapter {
	store := platform.NewStore(s.Platform(), network)
	store.Meter = m
	return composer.Adapter{
		Store: store, Configurations: store.Configurations(), DecodeConfiguration: platform.DecodeConfiguration,
		Upstreams: store.Upstreams(), DecodeUpstream: platform.DecodeUpstream,
		Orders: platform.NewUpstreamClient(network), Protocol: platform.Protocol{}, ReadinessPath: platform.ReadinessPath,
	}
}
