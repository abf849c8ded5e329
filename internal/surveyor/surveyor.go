package surveyor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
)

const (
	// _pollInterval is the time between the starts of two polls.
	_pollInterval = 2 * time.Second
	// _statusTimeout bounds one status request.
	_statusTimeout = time.Second
	// _maxParallel bounds the status requests in flight.
	_maxParallel = 16
	// _leavingExpiry is how long an upstream's last report that it is leaving counts
	// while its status requests fail.
	_leavingExpiry = time.Minute
	// _serviceKind is the kind of a plain service in the platform's list.
	_serviceKind = "service"
)

// Configuration returns the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// PlatformView returns the latest copy of the platform's list of instances.
type PlatformView interface {
	View() placementtracker.View
}

// StatusClient asks an upstream for its status.
type StatusClient interface {
	Status(ctx context.Context, address string) (engineclient.Status, error)
}

// Surveyor tracks which upstreams are leaving. Set its fields before Run, and don't
// change them afterwards. It is safe for concurrent use.
type Surveyor struct {
	Configuration Configuration
	Platform      PlatformView
	Client        StatusClient
	Log           logger.Logger

	mu sync.Mutex
	// leaving is the time, by address, of each last report of an upstream that it
	// is leaving.
	leaving map[string]time.Time
}

// Run polls the upstreams at intervals until ctx ends.
func (s *Surveyor) Run(ctx context.Context) {
	ticker := time.NewTicker(_pollInterval)
	defer ticker.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll asks every configured upstream for its status once, and waits for the answers.
func (s *Surveyor) poll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(_maxParallel)
	for a := range s.addresses() {
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, _statusTimeout)
			defer cancel()
			if status, err := s.Client.Status(call, a); err == nil {
				s.recordStatus(a, status.Leaving)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// addresses returns the addresses of all configured upstreams, and discards
// the reports of all others.
func (s *Surveyor) addresses() map[string]bool {
	out := make(map[string]bool)
	for _, v := range s.Configuration.Current().Document().Services {
		for _, u := range v.Upstreams {
			out[u.Address] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.leaving {
		if !out[a] {
			delete(s.leaving, a)
		}
	}
	return out
}

func (s *Surveyor) recordStatus(address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, before := s.leaving[address]
	if before != leaving {
		s.Log.Event("service-leaving", logger.Fields{"address": address, "leaving": leaving})
	}
	if !leaving {
		delete(s.leaving, address)
		return
	}
	if s.leaving == nil {
		s.leaving = make(map[string]time.Time)
	}
	s.leaving[address] = time.Now()
}

// Leaving reports whether the upstream at address, a host:port, is leaving, by its
// own status or by the platform's list.
func (s *Surveyor) Leaving(address string) bool {
	s.mu.Lock()
	reportedAt, ok := s.leaving[address]
	s.mu.Unlock()
	if ok && time.Since(reportedAt) < _leavingExpiry {
		return true
	}
	for _, i := range s.Platform.View().Instances() {
		if i.Kind == _serviceKind && i.Address == address && i.Leaving {
			return true
		}
	}
	return false
}
