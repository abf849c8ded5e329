package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Reason says why a replica was chosen or left out.
type Reason string

// Reasons of a decision.
const (
	ReasonLeastLoad   Reason = "least-load"
	ReasonSpill       Reason = "spill"
	ReasonNoReplica   Reason = "no-replica"
	ReasonNoEvidence  Reason = "no-evidence"
	ReasonLeaving     Reason = "leaving"
	ReasonDraining    Reason = "draining"
	ReasonFull        Reason = "full"
	ReasonLongShare   Reason = "long-share"
	ReasonTriedBefore Reason = "tried-before"
)

// Candidate is a replica and what is known of it.
type Candidate struct {
	Replica    *wire.Replica
	DataCentre string
	// Confirmed is when all members were last seen ready; zero for never.
	Confirmed time.Time
	Leaving   bool
	// ReportedLoad is the work that the engine reported, with a lag.
	ReportedLoad int
	// ReportedAt is when the engine was asked for Reported.
	ReportedAt time.Time
	// LoadChange is what this entry added since then; below 0 where it finished more
	// than it began.
	LoadChange int
	// Refused says that the engine was full and hasn't reported since.
	Refused bool
	// LocalLoad is the work that this entry has in the replica.
	LocalLoad int
	// LocalLongLoad is the long part of Local.
	LocalLongLoad int
}

// Key tells a replica from another of its name: a repaired replica keeps the
// name and gets a new generation.
type Key struct {
	Name       string
	Generation uint64
}

// KeyOf returns the key of a replica.
func KeyOf(r *wire.Replica) Key { return Key{Name: r.GetName(), Generation: r.GetGeneration()} }

// Request is what the decision depends on.
type Request struct {
	Long bool
	// Contended says that requests wait here; then this entry takes only its part
	// of the slots that others left free.
	Contended bool
	// Tried holds replicas that refused or broke this request.
	Tried map[Key]bool
}

// Router routes requests. The zero value routes without limits on the age of
// evidence; set the fields before use.
type Router struct {
	// DataCentre is preferred over others.
	DataCentre string
	// EvidenceLimit is the greatest age of a member's evidence.
	EvidenceLimit time.Duration
	// LongShare is the part of the slots that long work may hold; 0 means all.
	LongShare float64
	// Entries is how many entries share the replicas; 0 means 1. Each takes an
	// equal part of the slots that long work may hold.
	Entries int
	// Salt tells entries apart, so that they don't all break ties alike.
	Salt uint64
}

// Decision is the outcome of routing.
type Decision struct {
	// Chosen is nil where no candidate can take the request now.
	Chosen *Candidate
	Reason Reason
	// Usable counts the candidates that could serve the request, full or not.
	Usable int
}

// Route chooses a candidate: its own data centre first, then the least load for
// each slot.
func (r *Router) Route(q Request, candidates []Candidate, now time.Time) Decision {
	d := Decision{Reason: ReasonNoReplica}
	var slots, long int
	for i := range candidates {
		c := &candidates[i]
		if why := r.unusable(q, c, now); why != "" {
			if d.Usable == 0 {
				d.Reason = why
			}
			continue
		}
		d.Usable++
		slots += int(c.Replica.GetSlots())
		long += c.LocalLongLoad
		if full(c) || q.Long && r.longFull(c) || q.Contended && !r.mayTake(c) {
			if d.Chosen == nil {
				d.Reason = ReasonFull
			}
			continue
		}
		if d.Chosen == nil || r.better(c, d.Chosen) {
			d.Chosen = c
		}
	}
	if d.Chosen == nil {
		return d
	}
	if q.Long && r.LongShare > 0 && long >= r.longPart(slots) {
		d.Chosen, d.Reason = nil, ReasonLongShare
		return d
	}
	d.Reason = ReasonLeastLoad
	if d.Chosen.DataCentre != r.DataCentre {
		d.Reason = ReasonSpill
	}
	return d
}

func (r *Router) unusable(q Request, c *Candidate, now time.Time) Reason {
	switch {
	case q.Tried[KeyOf(c.Replica)]:
		return ReasonTriedBefore
	case c.Replica.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING:
		return ReasonDraining
	case c.Leaving:
		return ReasonLeaving
	case c.Confirmed.IsZero() || now.Sub(c.Confirmed) > r.EvidenceLimit:
		return ReasonNoEvidence
	default:
		return ""
	}
}

// better says that a is a better choice than b.
func (r *Router) better(a, b *Candidate) bool {
	if (a.DataCentre == r.DataCentre) != (b.DataCentre == r.DataCentre) {
		return a.DataCentre == r.DataCentre
	}
	if x, y := load(a)*int(b.Replica.GetSlots()), load(b)*int(a.Replica.GetSlots()); x != y {
		return x < y
	}
	return r.Entries > 1 && r.draw(a) < r.draw(b)
}

// load is the best guess of the work in the replica. A place that this entry
// gives back is free at once to itself and to others only with the next report,
// so entries that never talk don't all fill the same one.
func load(c *Candidate) int { return max(c.ReportedLoad+c.LoadChange, c.LocalLoad) }

func full(c *Candidate) bool { return c.Refused || load(c) >= int(c.Replica.GetSlots()) }

// mayTake says whether a free slot is this entry's to take. What it gave back
// itself is. Of the slots that others left free each entry takes an equal part
// in each report interval, the fraction by a draw, so that about as many entries
// come as there are slots.
func (r *Router) mayTake(c *Candidate) bool {
	if c.LoadChange < 0 {
		return true
	}
	entries := uint64(max(1, r.Entries))
	free := uint64(max(0, int(c.Replica.GetSlots())-c.ReportedLoad))
	part := free / entries
	if r.draw(c)%entries < free%entries {
		part++
	}
	return uint64(c.LoadChange) < part
}

// draw is a random number of this entry for a replica and report.
func (r *Router) draw(c *Candidate) uint64 {
	return mix(xxhash.Sum64String(c.Replica.GetName()) ^ r.Salt ^ uint64(c.ReportedAt.UnixNano()))
}

// UniformFloat turns a number into one evenly spread over 0 to 1, without 1.
func UniformFloat(x uint64) float64 { return float64(mix(x)>>11) / (1 << 53) }

// mix is the finalizer of SplitMix64; it spreads nearby inputs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// longPart returns how many long answers this entry may have in that many slots.
func (r *Router) longPart(slots int) int {
	return max(1, int(r.LongShare*float64(slots)/float64(max(1, r.Entries))))
}

func (r *Router) longFull(c *Candidate) bool {
	if r.LongShare == 0 {
		return false
	}
	return c.LocalLongLoad >= max(1, int(r.LongShare*float64(c.Replica.GetSlots())))
}
