package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

const (
	// _checkInterval is the time between two checks of the open streams.
	_checkInterval = 100 * time.Millisecond
	// _silenceTimeout is how long an upstream may send nothing on any stream before it
	// counts as silent. A step of its engine takes under 50 ms.
	_silenceTimeout = 500 * time.Millisecond
	// _maxStreamSilence is how long one stream may receive nothing while other streams
	// of its upstream continue. Callers give up after two seconds.
	_maxStreamSilence = 1200 * time.Millisecond
	// _expectedWaitFactor multiplies the average wait for a first event. The product is
	// how long a request may wait for its first event before its upstream counts as
	// silent.
	_expectedWaitFactor = 3
)

// Watchdog cancels sends to upstreams that stopped sending data, so that the
// streams can continue at other upstreams before callers give up. Set its fields
// before use.
type Watchdog struct {
	Balancer *balancer.Balancer
	Log      logger.Logger
	// OnSilence is called with the id of an upstream that stopped sending data; it may
	// be nil and must not block.
	OnSilence func(upstream string)

	mu      sync.Mutex
	watches map[*Watch]bool
}

// Send describes a send of a request to an upstream.
type Send struct {
	// Upstream is the id of the upstream.
	Upstream string
	// Epoch is the epoch of the group that the upstream is the head of; 0 if it is not
	// the head of a group.
	Epoch uint64
	// ExpectedWait is the average wait for a first event; 0 if none was observed.
	ExpectedWait time.Duration
	// Cancel is called once if the upstream falls silent and the request can continue
	// at another upstream.
	Cancel func()
	// Reroute reserves another upstream for the request, and reports whether there is one.
	// The send is then cancelled.
	Reroute func() bool
}

// Watch is a send that the watchdog watches.
type Watch struct {
	watchdog *Watchdog
	send     Send

	// The fields below are guarded by watchdog.mu.

	// lastDataAt is when the stream last made progress, or the send began.
	lastDataAt time.Time
	// begun is true once the upstream has begun to respond.
	begun bool
	// reported is true once the silence of the upstream was reported, until it sends
	// data again.
	reported bool
}

// Watch starts to watch a send. The caller must stop the watch when the send ends.
func (d *Watchdog) Watch(s Send) *Watch {
	w := &Watch{watchdog: d, send: s, lastDataAt: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watches == nil {
		d.watches = make(map[*Watch]bool)
	}
	d.watches[w] = true
	return w
}

// RecordActivity records that the upstream has begun to respond, or that its stream has
// made progress.
func (w *Watch) RecordActivity() {
	now := time.Now()
	w.watchdog.Balancer.RecordActivity(w.send.Upstream, now)
	w.watchdog.mu.Lock()
	w.lastDataAt, w.begun, w.reported = now, true, false
	w.watchdog.mu.Unlock()
}

// limit returns how long the upstream may send nothing before it counts as silent.
// Until the upstream begins to respond, the limit may be longer, because a request
// that is queued at its upstream receives nothing.
func (w *Watch) limit() time.Duration {
	if w.begun {
		return _silenceTimeout
	}
	return min(max(_silenceTimeout, _expectedWaitFactor*w.send.ExpectedWait), _maxStreamSilence)
}

// Stop stops the watch.
func (w *Watch) Stop() {
	w.watchdog.mu.Lock()
	delete(w.watchdog.watches, w)
	w.watchdog.mu.Unlock()
}

// Run checks the open streams until ctx ends.
func (d *Watchdog) Run(ctx context.Context) {
	t := time.NewTicker(_checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, w := range d.takeSilent(now) {
				w.send.Cancel()
			}
		}
	}
}

// takeSilent reports the upstreams that fell silent. It removes and returns the
// watches of the sends to cancel: those whose requests can continue at another
// upstream.
func (d *Watchdog) takeSilent(now time.Time) []*Watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Watch
	for w := range d.watches {
		silentFor, limit := now.Sub(w.lastDataAt), w.limit()
		if silentFor < limit {
			continue
		}
		upstreamSilentFor := now.Sub(d.Balancer.LastActivity(w.send.Upstream))
		if upstreamSilentFor >= limit && !w.reported {
			w.reported = true
			d.Balancer.MarkSilent(w.send.Upstream, w.send.Epoch, w.begun, now)
			if d.OnSilence != nil {
				d.OnSilence(w.send.Upstream)
			}
		}
		if upstreamSilentFor < limit && silentFor < _maxStreamSilence || !w.send.Reroute() {
			continue
		}
		d.Log.Event("send-silent", logger.Fields{
			"upstream": w.send.Upstream, "silent_ms": silentFor.Milliseconds(), "upstream_silent_ms": upstreamSilentFor.Milliseconds(), "silence_limit_ms": limit.Milliseconds(), "begun": w.begun,
		})
		delete(d.watches, w)
		out = append(out, w)
	}
	return out
}
