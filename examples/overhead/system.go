package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

const (
	_key   = "caller-key"
	_token = "operator-token"
)

// system is the simulated platform and engines with an entry and a placer.
type system struct {
	platform *standin.Platform
	// callersAddress is the address (host:port) where the entry serves callers.
	callersAddress string
	apps           []*fx.App
	servers        []*http.Server
}

// startSystem starts a system with one group, of one replica of two members with that
// many slots. Close it with close.
func startSystem(slots int) (*system, error) {
	s := &system{platform: standin.NewPlatform()}
	platform, err := s.serve(s.platform)
	if err != nil {
		return nil, err
	}
	for i := range 2 {
		e := standin.NewEngine(standin.EngineOptions{
			Name: fmt.Sprintf("e%d", i), ChecksFencing: true, LoadTime: time.Second, TokenTime: _tokenTime, Network: networker.System{},
		})
		address, err := s.serve(e)
		if err != nil {
			return nil, err
		}
		s.platform.SetInstance(storer.Instance{
			Name: fmt.Sprintf("e%d", i), Address: address, DataCentre: "here", Domain: "f1", Kind: "engine", ChecksFencing: true,
		})
	}
	operator, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if s.callersAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	common := []string{
		"-data-centre", "here", "-platform", "http://" + platform, "-peer-secret", "overhead overhead", "-peer-listen", "127.0.0.1:0",
		"-operator-tokens", "ann:" + authenticator.Digest(_token), "-drain-notice", "0s",
	}
	if err := s.startDaemon(loader.RolePlacer, append([]string{"-name", "p1"}, common...)); err != nil {
		return nil, err
	}
	if err := s.startDaemon(loader.RoleEntry, append([]string{"-name", "n1", "-operator-listen", operator, "-callers-listen", s.callersAddress}, common...)); err != nil {
		return nil, err
	}
	c := lycheebarrow.Client{Address: operator, Token: _token}
	_, err = c.Patch(context.Background(), lycheebarrow.Patch{ID: "1", Author: "ann", Reason: "measure", Merge: document(slots)})
	return s, err
}

// document returns the configuration, with a group of that many slots.
func document(slots int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"organisations":{"acme":{"keys_sha256":[%q]}},
		"groups":{"forms":{"model":"form-assistant","version":"v1","data_centre":"here","replicas":1,"members":2,"slots":%d}}}`,
		authenticator.Digest(_key), slots))
}

// startDaemon starts a placer or an entry with command line arguments.
func (s *system) startDaemon(role loader.Role, args []string) error {
	settings, err := loader.Load(role, args, io.Discard)
	if err != nil {
		return err
	}
	build := composer.NewEntry
	if role == loader.RolePlacer {
		build = composer.NewPlacer
	}
	app := build(settings, networker.System{}, io.Discard)
	s.apps = append(s.apps, app)
	return app.Start(context.Background())
}

// serve starts an HTTP server on loopback and returns its address.
func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address with a port that was free when it was checked;
// another process may have taken the port since.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// close stops the daemons and the servers.
func (s *system) close() {
	for _, app := range s.apps {
		_ = app.Stop(context.Background())
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
