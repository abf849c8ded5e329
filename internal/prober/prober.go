package prober

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/messenger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Asker asks the instance at an address about itself.
type Asker interface {
	Status(ctx context.Context, address string) (messenger.Status, error)
}

// Target is an instance to probe.
type Target struct {
	Instance string
	Address  string // host:port
	Interval time.Duration
}

// Evidence is what is known of an instance.
type Evidence struct {
	status messenger.Status
	sent   time.Time
	failed bool
}

// Status returns the instance's last word; the zero Status where there is none.
func (e Evidence) Status() messenger.Status { return e.status }

// Sent returns when the probe of the last word was sent; zero where there is
// none.
func (e Evidence) Sent() time.Time { return e.sent }

// Failed says that the newest probe got no answer.
func (e Evidence) Failed() bool { return e.failed }

// Prober probes its targets. Make it with New; Close it. It is safe for
// concurrent use.
type Prober struct {
	asker Asker
	log   logger.Logger
	group sync.WaitGroup

	mu       sync.Mutex
	evidence map[string]Evidence
	running  map[Target]context.CancelFunc
	changed  chan struct{}
	closed   bool
}

// New returns a Prober without targets.
func New(asker Asker, log logger.Logger) *Prober {
	return &Prober{
		asker: asker, log: log, evidence: make(map[string]Evidence),
		running: make(map[Target]context.CancelFunc), changed: make(chan struct{}),
	}
}

// SetTargets probes just these from now on.
func (p *Prober) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := make(map[Target]bool, len(targets))
	names := make(map[string]bool, len(targets))
	for _, t := range targets {
		wanted[t] = true
		names[t.Instance] = true
		if _, ok := p.running[t]; !ok {
			p.start(t)
		}
	}
	for t, stop := range p.running {
		if !wanted[t] {
			stop()
			delete(p.running, t)
		}
	}
	for n := range p.evidence {
		if !names[n] {
			delete(p.evidence, n)
		}
	}
}

// start begins to probe a target. The caller holds the lock.
func (p *Prober) start(t Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p.running[t] = cancel
	p.group.Go(func() {
		ticker := time.NewTicker(t.Interval)
		defer ticker.Stop()
		for {
			p.probe(ctx, t)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (p *Prober) probe(ctx context.Context, t Target) {
	// A probe that takes many intervals says nothing that is worth waiting for.
	const intervals = 5
	call, cancel := context.WithTimeout(ctx, intervals*t.Interval)
	defer cancel()
	sent := time.Now()
	s, err := p.asker.Status(call, t.Address)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.evidence[t.Instance]
	if err != nil || s.Instance != t.Instance {
		if !e.failed {
			p.log.Event("probe-failed", logger.Fields{"instance": t.Instance, "address": t.Address, "error": err})
		}
		e.failed = true
	} else {
		e = Evidence{status: s, sent: sent}
	}
	p.evidence[t.Instance] = e
	close(p.changed)
	p.changed = make(chan struct{})
}

// Evidence returns what is known of an instance.
func (p *Prober) Evidence(instance string) Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence[instance]
}

// Changed returns a channel that is closed after the next probe.
func (p *Prober) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Confirmed returns the latest time at which every member of the replica was
// seen ready for its generation; the zero time where one is not.
func (p *Prober) Confirmed(r *wire.Replica) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for i, m := range r.GetMembers() {
		e := p.evidence[m]
		if !fits(e.status, r) {
			return time.Time{}
		}
		if i == 0 || e.sent.Before(oldest) {
			oldest = e.sent
		}
	}
	return oldest
}

// Leaving says that a member of the replica announced that it leaves.
func (p *Prober) Leaving(r *wire.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range r.GetMembers() {
		if p.evidence[m].status.Leaving {
			return true
		}
	}
	return false
}

// Departures returns the boots of the instances that said in their last word
// that they leave, by name.
func (p *Prober) Departures() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	for name, e := range p.evidence {
		if e.status.Leaving {
			out[name] = e.status.Boot
		}
	}
	return out
}

func fits(s messenger.Status, r *wire.Replica) bool {
	return s.State == messenger.StateReady && s.Replica == r.GetName() && s.Generation == r.GetGeneration() &&
		s.Model == r.GetModel() && s.Version == r.GetVersion()
}

// Close stops probing and waits for the probes under way.
func (p *Prober) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, stop := range p.running {
		stop()
	}
	p.mu.Unlock()
	p.group.Wait()
	return nil
}
