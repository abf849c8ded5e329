package surveyor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/messenger"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
)

const (
	// _interval is the time between two rounds of questions.
	_interval = 2 * time.Second
	// _askLimit bounds one question.
	_askLimit = time.Second
	// _parallel bounds the questions asked at once.
	_parallel = 16
	// _leavingLimit is how long an upstream's word that it leaves counts while
	// it says nothing more.
	_leavingLimit = time.Minute
	// _kind is the kind of plain services in the platform's list.
	_kind = "service"
)

// Configuration gives the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// PlatformView gives the platform's list of instances.
type PlatformView interface {
	View() watcher.View
}

// StatusClient asks an upstream for its status.
type StatusClient interface {
	Status(ctx context.Context, address string) (messenger.Status, error)
}

// Surveyor knows which upstreams leave. Set the fields before Run; they don't
// change after. It is safe for concurrent use.
type Surveyor struct {
	Configuration Configuration
	Platform      PlatformView
	Client        StatusClient
	Log           logger.Logger

	mu sync.Mutex
	// leaving is when each address last said that it leaves.
	leaving map[string]time.Time
}

// Run asks in rounds until ctx ends.
func (s *Surveyor) Run(ctx context.Context) {
	ticker := time.NewTicker(_interval)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round asks every configured upstream once.
func (s *Surveyor) round(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(_parallel)
	for a := range s.addresses() {
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, _askLimit)
			defer cancel()
			if status, err := s.Client.Status(call, a); err == nil {
				s.note(a, status.Leaving)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// addresses returns the addresses of all configured upstreams, and forgets what
// was known of others.
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

func (s *Surveyor) note(address string, leaving bool) {
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

// Leaving says that the upstream at address, a host:port, takes no new calls,
// by its own word or the platform's.
func (s *Surveyor) Leaving(address string) bool {
	s.mu.Lock()
	said, ok := s.leaving[address]
	s.mu.Unlock()
	if ok && time.Since(said) < _leavingLimit {
		return true
	}
	for _, i := range s.Platform.View().Instances() {
		if i.Kind == _kind && i.Address == address && i.Leaving {
			return true
		}
	}
	return false
}
