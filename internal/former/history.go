package former

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _firstCoolDown is how long an instance must have been up after its second
	// fault before it is used again; it doubles with each further fault.
	_firstCoolDown = 10 * time.Second
	_maxCoolDown   = 2 * time.Minute
	// _forgiveAfter is how long an instance must be up until its faults are
	// forgotten, and how long an instance that is gone is remembered.
	_forgiveAfter = 30 * time.Minute
)

// history is what a Former remembers between decisions.
type history struct {
	instances map[string]*record
	replicas  map[string]*life
}

// record is the past of an instance.
type record struct {
	boot   string
	up     bool
	since  time.Time // of up
	faults int
}

// life is the past of a replica at one generation and state.
type life struct {
	generation  uint64
	state       wire.ReplicaState
	since       time.Time
	brokenSince time.Time // zero where the replica is whole
	held        bool      // an EventHold was given out
	overdue     bool      // the faults of an overdue load were counted
	// boots holds the boot id of each member that was seen to obey.
	boots map[string]string
}

// observe brings the history up to date with the state.
func (f *Former) observe(s State, now time.Time) {
	h := &f.history
	if h.instances == nil {
		h.instances, h.replicas = make(map[string]*record), make(map[string]*life)
	}
	for n, i := range s.Instances {
		f.see(n, i, now)
	}
	for n, r := range h.instances {
		if _, ok := s.Instances[n]; ok {
			continue
		}
		r.change(false, now)
		if now.Sub(r.since) > _forgiveAfter {
			delete(h.instances, n)
		}
	}
	seen := make(map[string]bool)
	for _, p := range s.Placements {
		for _, r := range p.GetReplicas() {
			seen[r.GetName()] = true
			h.follow(s, r, now)
		}
	}
	for n := range h.replicas {
		if !seen[n] {
			delete(h.replicas, n)
		}
	}
}

// see notes what an instance does.
func (f *Former) see(name string, i Instance, now time.Time) {
	if !i.Answered {
		return
	}
	r, ok := f.history.instances[name]
	if !ok {
		f.history.instances[name] = &record{boot: i.Boot, up: i.Silence < f.DeadAfter}
		return
	}
	r.change(i.Silence < f.DeadAfter, now)
	if r.boot != i.Boot {
		r.boot = i.Boot
		r.fault(now)
	}
	if r.up && now.Sub(r.since) > _forgiveAfter {
		r.faults = 0
	}
}

// change notes that the instance is up or not.
func (r *record) change(up bool, now time.Time) {
	if r.up == up {
		return
	}
	r.up, r.since = up, now
	if !up {
		r.faults++
	}
}

// fault counts a fault of an instance that is up.
func (r *record) fault(now time.Time) {
	if now.Sub(r.since) > 0 {
		r.faults++
	}
	r.since = now
}

// coolDown returns how long the instance must be up before it is used again.
func (r *record) coolDown() time.Duration {
	if r.faults < 2 {
		return 0
	}
	d := _firstCoolDown
	for range min(r.faults-2, 10) {
		d *= 2
	}
	return min(d, _maxCoolDown)
}

// trusted says that an instance has been up for as long as its past asks for.
func (f *Former) trusted(name string, now time.Time) bool {
	r, ok := f.history.instances[name]
	return ok && (r.faults < 2 || now.Sub(r.since) >= r.coolDown())
}

// follow notes since when a replica has been at its generation and state, and
// which members have obeyed.
func (h *history) follow(s State, r *wire.Replica, now time.Time) {
	l, ok := h.replicas[r.GetName()]
	if !ok || l.generation != r.GetGeneration() {
		l = &life{generation: r.GetGeneration(), state: r.GetState(), since: now, boots: make(map[string]string)}
		h.replicas[r.GetName()] = l
	}
	if l.state != r.GetState() {
		l.state, l.since = r.GetState(), now
	}
	for _, m := range r.GetMembers() {
		i := s.Instances[m]
		if _, obeyed := l.boots[m]; !obeyed && i.Replica == r.GetName() && i.Generation == r.GetGeneration() {
			l.boots[m] = i.Boot
		}
	}
}
