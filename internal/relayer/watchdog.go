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

// Watch is one send that is watched.
type Watch struct {
	dog      *Watchdog
	upstream string
	end      func()
	may      func() bool

	// last is when the send was begun or last heard of; the dog's lock guards it.
	last time.Time
}

// Watch watches a send; end is called once where the upstream falls silent and
// may says that the request can go on elsewhere. End the watch.
func (d *Watchdog) Watch(upstream string, end func(), may func() bool) *Watch {
	w := &Watch{dog: d, upstream: upstream, end: end, may: may, last: time.Now()}
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
	w.dog.Balancer.Heard(w.upstream, now)
	w.dog.mu.Lock()
	w.last = now
	w.dog.mu.Unlock()
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
				w.end()
			}
		}
	}
}

// silent takes out the watches whose upstream fell silent.
func (d *Watchdog) silent(now time.Time) []*Watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Watch
	for w := range d.watches {
		quiet := now.Sub(w.last)
		if quiet < _silence || !w.may() {
			continue
		}
		heard := now.Sub(d.Balancer.LastHeard(w.upstream))
		if heard < _silence && quiet < _patience {
			continue
		}
		if heard >= _silence {
			d.Balancer.Silent(w.upstream, now)
			if d.Suspect != nil {
				d.Suspect(w.upstream)
			}
		}
		d.Log.Event("send-silent", logger.Fields{"upstream": w.upstream, "quiet_ms": quiet.Milliseconds(), "upstream_quiet_ms": heard.Milliseconds()})
		delete(d.watches, w)
		out = append(out, w)
	}
	return out
}
