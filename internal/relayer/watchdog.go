package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

const (
	// _watchTick is the time between two looks at the open streams.
	_watchTick = 100 * time.Millisecond
	// _silence is how long an upstream may send nothing at all, on any stream,
	// before it counts as stalled. A step takes under 50 ms.
	_silence = 500 * time.Millisecond
	// _patience is how long one stream may be silent while others of its upstream
	// go on. Callers give up after two seconds.
	_patience = 1200 * time.Millisecond
	// _usualWaits is how many times the usual wait for a first event a request may
	// wait for its own before that says something of the upstream.
	_usualWaits = 3
)

// Watchdog ends sends to upstreams that fell silent, so that their streams can
// go on elsewhere before callers give up. Set its fields before use.
type Watchdog struct {
	Balancer *balancer.Balancer
	Log      logger.Logger
	// Suspect is told of an upstream that fell silent; it may be nil and must not
	// block.
	Suspect func(upstream string)

	mu      sync.Mutex
	watches map[*Watch]bool
}

// Send is what the watchdog needs to know of a send.
type Send struct {
	Upstream string
	// Epoch is that of the group whose head the upstream is; 0 where it is none.
	Epoch uint64
	// Wait is the usual wait for a first event; 0 where none was seen.
	Wait time.Duration
	// End is called once where the upstream falls silent and the request can go on
	// elsewhere.
	End func()
	// May says that the request can go on elsewhere now.
	May func() bool
}

// Watch is one send that is watched.
type Watch struct {
	dog  *Watchdog
	send Send

	// The dog's lock guards what follows. last is when the send was begun or last
	// heard of.
	last time.Time
	// begun says that the upstream has begun to answer.
	begun bool
	// noted says that the upstream's silence was noted.
	noted bool
}

// Watch watches a send. End the watch.
func (d *Watchdog) Watch(s Send) *Watch {
	w := &Watch{dog: d, send: s, last: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watches == nil {
		d.watches = make(map[*Watch]bool)
	}
	d.watches[w] = true
	return w
}

// Heard notes that something came.
func (w *Watch) Heard() {
	now := time.Now()
	w.dog.Balancer.RecordActivity(w.send.Upstream, now)
	w.dog.mu.Lock()
	w.last, w.begun, w.noted = now, true, false
	w.dog.mu.Unlock()
}

// limit returns how long the upstream may be silent before that says something of
// it. A request that waits for its turn among others hears nothing meanwhile.
func (w *Watch) limit() time.Duration {
	if w.begun {
		return _silence
	}
	return min(max(_silence, _usualWaits*w.send.Wait), _patience)
}

// End ends the watch.
func (w *Watch) End() {
	w.dog.mu.Lock()
	delete(w.dog.watches, w)
	w.dog.mu.Unlock()
}

// Run looks at the open streams until ctx ends.
func (d *Watchdog) Run(ctx context.Context) {
	t := time.NewTicker(_watchTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, w := range d.silent(now) {
				w.send.End()
			}
		}
	}
}

// silent notes the upstreams that fell silent, and takes out the watches of those
// sends that can go on elsewhere.
func (d *Watchdog) silent(now time.Time) []*Watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Watch
	for w := range d.watches {
		quiet, limit := now.Sub(w.last), w.limit()
		if quiet < limit {
			continue
		}
		heard := now.Sub(d.Balancer.LastActivity(w.send.Upstream))
		if heard >= limit && !w.noted {
			w.noted = true
			d.Balancer.MarkSilent(w.send.Upstream, w.send.Epoch, w.begun, now)
			if d.Suspect != nil {
				d.Suspect(w.send.Upstream)
			}
		}
		if heard < limit && quiet < _patience || !w.send.May() {
			continue
		}
		d.Log.Event("send-silent", logger.Fields{
			"upstream": w.send.Upstream, "quiet_ms": quiet.Milliseconds(), "upstream_quiet_ms": heard.Milliseconds(), "limit_ms": limit.Milliseconds(), "begun": w.begun,
		})
		delete(d.watches, w)
		out = append(out, w)
	}
	return out
}
