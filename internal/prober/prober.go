package prober

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _promptIntervals is how many intervals an answer may take to count as prompt.
// A slower instance may have been paused, so its PresentSince starts again.
const _promptIntervals = 2

// StatusClient asks the instance at an address for its status.
type StatusClient interface {
	Status(ctx context.Context, address string) (engineclient.Status, error)
}

// Meter counts probes.
type Meter interface {
	CountProbe(answered bool)
}

// Target is an instance to probe.
type Target struct {
	Instance string
	Address  string // host:port
	Interval time.Duration
	// ActiveInterval is the interval while a replica of the instance is marked active;
	// 0 means Interval.
	ActiveInterval time.Duration
	// Timeout bounds one probe; 0 means five intervals.
	Timeout time.Duration
}

// Evidence is what the probes have shown of an instance.
type Evidence struct {
	status       engineclient.Status
	sent         time.Time
	presentSince time.Time
	failed       bool
	// lastContact is when the last answered probe was sent, or the first probe where
	// none was answered.
	lastContact time.Time
	silence     time.Duration
}

// Status returns the instance's latest status; the zero Status where it has not
// answered.
func (e Evidence) Status() engineclient.Status { return e.status }

// SentAt returns when the probe of the latest status was sent; the zero time where
// there is no status.
func (e Evidence) SentAt() time.Time { return e.sent }

// PresentSince returns since when the instance has answered every probe promptly; the
// zero time where it has not answered.
func (e Evidence) PresentSince() time.Time { return e.presentSince }

// Failed reports whether the latest probe got no answer, or one of another instance.
func (e Evidence) Failed() bool { return e.failed }

// Silence returns the time from the sending of the last answered probe, or of
// the first one, to the sending of the latest failed probe; 0 where the latest
// probe was answered. It does not grow while this process is paused, since only
// a probe that was sent and failed counts.
func (e Evidence) Silence() time.Duration { return e.silence }

// Prober probes its targets. Make it with New; Close it. It is safe for
// concurrent use.
type Prober struct {
	// Meter may be nil. Set it before SetTargets.
	Meter Meter

	client StatusClient
	log    logger.Logger
	group  sync.WaitGroup

	mu       sync.Mutex
	evidence map[string]Evidence
	running  map[Target]runner
	active   map[string]int // number of active marks of each instance
	changed  chan struct{}
	closed   bool
}

// New returns a Prober without targets.
func New(client StatusClient, log logger.Logger) *Prober {
	return &Prober{
		client: client, log: log, evidence: make(map[string]Evidence),
		running: make(map[Target]runner), active: make(map[string]int), changed: make(chan struct{}),
	}
}

// SetTargets replaces the set of targets. The evidence of other instances is
// discarded.
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
	for t, r := range p.running {
		if !wanted[t] {
			r.stop()
			delete(p.running, t)
		}
	}
	for n := range p.evidence {
		if !names[n] {
			delete(p.evidence, n)
		}
	}
}

// runner is the loop that probes one target.
type runner struct {
	stop context.CancelFunc
	// wake ends the wait for the next probe early.
	wake chan struct{}
}

// start begins to probe a target. The caller holds p.mu.
func (p *Prober) start(t Target) {
	ctx, cancel := context.WithCancel(context.Background())
	r := runner{stop: cancel, wake: make(chan struct{}, 1)}
	p.running[t] = r
	p.group.Go(func() {
		for ctx.Err() == nil {
			interval := p.interval(t)
			next := time.NewTimer(interval)
			p.probe(ctx, t, interval)
			select {
			case <-ctx.Done():
			case <-next.C:
			case <-r.wake:
			}
			next.Stop()
		}
	})
}

// interval returns the time between two probes of a target, as long as its
// instance's active marks don't change.
func (p *Prober) interval(t Target) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ActiveInterval > 0 && p.active[t.Instance] > 0 {
		return t.ActiveInterval
	}
	return t.Interval
}

// MarkActive probes the members of a replica at once, and from then on at their
// targets' ActiveInterval until release is called. Marks are counted: each of several
// callers has its own.
func (p *Prober) MarkActive(r *wire.Replica) (release func()) {
	p.addActive(r, 1)
	return func() { p.addActive(r, -1) }
}

// addActive adds delta to the number of active marks of each member of r, and wakes
// the runners of the members that had none.
func (p *Prober) addActive(r *wire.Replica, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newlyActive := make(map[string]bool)
	for _, m := range r.GetMembers() {
		p.active[m] += delta
		newlyActive[m] = delta > 0 && p.active[m] == 1
		if p.active[m] == 0 {
			delete(p.active, m)
		}
	}
	for t, x := range p.running {
		if newlyActive[t.Instance] && t.ActiveInterval < t.Interval {
			select {
			case x.wake <- struct{}{}:
			default:
			}
		}
	}
}

// probe asks a target once, and records the answer or the failure as evidence.
func (p *Prober) probe(ctx context.Context, t Target, interval time.Duration) {
	// A status that takes longer than this is too old to be of use.
	const timeoutIntervals = 5
	limit := t.Timeout
	if limit == 0 {
		limit = timeoutIntervals * interval
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	s, err := p.client.Status(call, t.Address)
	if ctx.Err() != nil {
		return
	}
	answered := time.Now()
	if p.Meter != nil {
		p.Meter.CountProbe(err == nil)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		// The target was removed, with its evidence, since the answer came.
		return
	}
	e := p.evidence[t.Instance]
	if err != nil || s.Instance != t.Instance {
		if !e.failed {
			p.log.Event("probe-failed", logger.Fields{"instance": t.Instance, "address": t.Address, "error": err})
		}
		if e.lastContact.IsZero() {
			e.lastContact = sent
		}
		e.failed, e.silence = true, sent.Sub(e.lastContact)
	} else {
		e = Evidence{status: s, sent: sent, presentSince: continuousSince(e, s.Boot, sent, answered, interval), lastContact: sent}
	}
	p.evidence[t.Instance] = e
	close(p.changed)
	p.changed = make(chan struct{})
}

// continuousSince returns since when an instance has answered without a gap, given the
// evidence before its latest answer. A slow answer, a pause between probes, a failed
// probe or a restart is a gap.
func continuousSince(previous Evidence, boot string, sent, answered time.Time, interval time.Duration) time.Time {
	limit := _promptIntervals * interval
	if answered.Sub(sent) > limit {
		return answered
	}
	gap := sent.Sub(previous.sent) > limit
	if previous.presentSince.IsZero() || previous.failed || gap || previous.status.Boot != boot {
		return sent
	}
	return previous.presentSince
}

// Evidence returns the evidence of an instance; the zero Evidence where the instance
// is not a target or has not been probed yet.
func (p *Prober) Evidence(instance string) Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence[instance]
}

// Changed returns a channel that is closed when the next probe ends.
func (p *Prober) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Confirmed returns the latest time at which the replica is confirmed: the time at
// which the oldest of its members' latest statuses was asked for. It returns the zero
// time where a member is not ready for the replica's generation.
func (p *Prober) Confirmed(r *wire.Replica) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for i, m := range r.GetMembers() {
		e := p.evidence[m]
		if !isReady(e.status, r) {
			return time.Time{}
		}
		if i == 0 || e.sent.Before(oldest) {
			oldest = e.sent
		}
	}
	return oldest
}

// PresentSince returns since when every member of the replica has been present without
// a gap that the probes could detect. Output that the replica generated before that
// time may have been generated while a member was missing.
func (p *Prober) PresentSince(r *wire.Replica) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest time.Time
	for _, m := range r.GetMembers() {
		if s := p.evidence[m].presentSince; s.After(latest) {
			latest = s
		}
	}
	return latest
}

// Leaving reports whether the latest status of a member of the replica says that it
// is leaving.
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

// Departures returns the boot IDs, by instance name, of the instances whose latest
// status says that they are leaving.
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

// isReady reports whether a status is that of a ready member of r.
func isReady(s engineclient.Status, r *wire.Replica) bool {
	return s.State == engineclient.StateReady && s.Replica == r.GetName() && s.Generation == r.GetGeneration() &&
		s.Model == r.GetModel() && s.Version == r.GetVersion()
}

// Close stops probing and waits for the probes in flight.
func (p *Prober) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, r := range p.running {
		r.stop()
	}
	p.mu.Unlock()
	p.group.Wait()
	return nil
}
