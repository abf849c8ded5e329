package servicepoller

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

// Poller tracks which upstreams are leaving. Set its fields before Run, and don't
// change them afterwards. It is safe for concurrent use.
type Poller struct {
	Configuration Configuration
	Platform      PlatformView
	Client        StatusClient
	Log           logger.Logger

	mu sync.Mutex
	// leaving holds, by address, when each upstream last reported that it is leaving.
	leaving map[string]time.Time
}

// Run polls the upstreams at intervals until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(_pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll asks every configured upstream for its status once, and waits for the answers.
func (p *Poller) poll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(_maxParallel)
	for a := range p.addresses() {
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, _statusTimeout)
			defer cancel()
			if status, err := p.Client.Status(call, a); err == nil {
				p.recordStatus(a, status.Leaving)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// addresses returns the addresses of all configured upstreams, and discards
// the reports of all others.
func (p *Poller) addresses() map[string]bool {
	out := make(map[string]bool)
	for _, v := range p.Configuration.Current().Document().Services {
		for _, u := range v.Upstreams {
			out[u.Address] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.leaving {
		if !out[a] {
			delete(p.leaving, a)
		}
	}
	return out
}

func (p *Poller) recordStatus(address string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, before := p.leaving[address]
	if before != leaving {
		p.Log.Event("service-leaving", logger.Fields{"address": address, "leaving": leaving})
	}
	if !leaving {
		delete(p.leaving, address)
		return
	}
	if p.leaving == nil {
		p.leaving = make(map[string]time.Time)
	}
	p.leaving[address] = time.Now()
}

// Leaving reports whether the upstream at address, a host:port, is leaving, by its
// own status or by the platform's list.
func (p *Poller) Leaving(address string) bool {
	p.mu.Lock()
	reportedAt, ok := p.leaving[address]
	p.mu.Unlock()
	if ok && time.Since(reportedAt) < _leavingExpiry {
		return true
	}
	for _, i := range p.Platform.View().Instances() {
		if i.Kind == _serviceKind && i.Address == address && i.Leaving {
			return true
		}
	}
	return false
}
