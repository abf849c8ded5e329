package planner

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _firstCoolDown is how long an instance must have been up after its second
	// fault before it is used again; it doubles with each further fault, up to
	// _maxCoolDown.
	_firstCoolDown = 10 * time.Second
	_maxCoolDown   = 2 * time.Minute
	// _faultRetention is how long an instance must be up until its fault count is
	// reset, and how long the record of an unlisted instance is kept.
	_faultRetention = 30 * time.Minute
)

// history is the state that a Planner keeps between decisions, by the names of
// instances and replicas.
type history struct {
	instances map[string]*instanceRecord
	replicas  map[string]*replicaRecord
}

// instanceRecord is what is known of an instance's past.
type instanceRecord struct {
	boot        string
	up          bool
	stableSince time.Time // the time of the last change of up, or of the last fault
	faults      int
}

// replicaRecord is what is known of the past of a replica at its current
// generation.
type replicaRecord struct {
	generation     uint64
	state          wire.ReplicaState
	stateSince     time.Time
	brokenSince    time.Time // zero while the replica is not broken
	holdReported   bool      // an ActionHold was added to a plan
	overdueCounted bool      // a fault was counted for each member whose load is overdue
	// bootIDs holds the boot ID that each member had when it was first seen to have
	// accepted the order.
	bootIDs map[string]string
}

// observe brings the history up to date with the state.
func (pl *Planner) observe(s State, now time.Time) {
	h := &pl.history
	if h.instances == nil {
		h.instances, h.replicas = make(map[string]*instanceRecord), make(map[string]*replicaRecord)
	}
	for n, i := range s.Instances {
		pl.observeInstance(n, i, now)
	}
	for n, r := range h.instances {
		if _, ok := s.Instances[n]; ok {
			continue
		}
		r.recordUp(false, now)
		if now.Sub(r.stableSince) > _faultRetention {
			delete(h.instances, n)
		}
	}
	seen := make(map[string]bool)
	for _, p := range s.Placements {
		for _, r := range p.GetReplicas() {
			seen[r.GetName()] = true
			h.observeReplica(s, r, now)
		}
	}
	for n := range h.replicas {
		if !seen[n] {
			delete(h.replicas, n)
		}
	}
}

// observeInstance updates an instance's record.
func (pl *Planner) observeInstance(name string, i Instance, now time.Time) {
	if !i.Answered {
		return
	}
	r, ok := pl.history.instances[name]
	if !ok {
		pl.history.instances[name] = &instanceRecord{boot: i.Boot, up: i.Silence < pl.DeadAfter}
		return
	}
	r.recordUp(i.Silence < pl.DeadAfter, now)
	if r.boot != i.Boot {
		r.boot = i.Boot
		r.countFault(now)
	}
	if r.up && now.Sub(r.stableSince) > _faultRetention {
		r.faults = 0
	}
}

// recordUp records whether the instance is up. Going down counts as a fault.
func (r *instanceRecord) recordUp(up bool, now time.Time) {
	if r.up == up {
		return
	}
	r.up, r.stableSince = up, now
	if !up {
		r.faults++
	}
}

// countFault counts a fault of an instance that answers, such as a restart. A fault
// at the instant of the last recorded one is not counted twice.
func (r *instanceRecord) countFault(now time.Time) {
	if now.Sub(r.stableSince) > 0 {
		r.faults++
	}
	r.stableSince = now
}

// coolDown returns how long the instance must be up before it is used again.
func (r *instanceRecord) coolDown() time.Duration {
	if r.faults < 2 {
		return 0
	}
	d := _firstCoolDown
	for range min(r.faults-2, 10) {
		d *= 2
	}
	return min(d, _maxCoolDown)
}

// cooledDown reports whether an instance has been up for its cool-down.
func (pl *Planner) cooledDown(name string, now time.Time) bool {
	r, ok := pl.history.instances[name]
	return ok && (r.faults < 2 || now.Sub(r.stableSince) >= r.coolDown())
}

// observeReplica records since when a replica has been in its state at its
// generation, and which members have accepted its order.
func (h *history) observeReplica(s State, r *wire.Replica, now time.Time) {
	rec, ok := h.replicas[r.GetName()]
	if !ok || rec.generation != r.GetGeneration() {
		rec = &replicaRecord{generation: r.GetGeneration(), state: r.GetState(), stateSince: now, bootIDs: make(map[string]string)}
		h.replicas[r.GetName()] = rec
	}
	if rec.state != r.GetState() {
		rec.state, rec.stateSince = r.GetState(), now
	}
	for _, m := range r.GetMembers() {
		i := s.Instances[m]
		if _, accepted := rec.bootIDs[m]; !accepted && i.Replica == r.GetName() && i.Generation == r.GetGeneration() {
			rec.bootIDs[m] = i.Boot
		}
	}
}
