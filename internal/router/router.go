package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Reason says why a replica was chosen, or why none could take the request.
type Reason string

// Reasons of a Decision. ReasonSpill says that the chosen replica is in another data
// centre; ReasonNoEvidence, that no recent probes showed a replica to be ready.
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

// Candidate is a replica that may serve the request, with its readiness and load.
type Candidate struct {
	Replica    *wire.Replica
	DataCentre string
	// Confirmed is the latest time at which all members were seen ready; zero if
	// one is not ready.
	Confirmed time.Time
	// Leaving says that a member is leaving and the replica takes no new
	// requests.
	Leaving bool
	// ReportedLoad is the number of requests, running and queued, in the last
	// load report of the engine.
	ReportedLoad int
	// ReportedAt is when the engine was asked for that report.
	ReportedAt time.Time
	// LoadChange is how many requests this entry has started at the replica since
	// ReportedAt, less those that it finished; below 0 when it finished more than
	// it started.
	LoadChange int
	// Refused says that the replica refused a request as full and has not
	// reported its load since.
	Refused bool
	// LocalLoad is the number of requests that this entry has in flight at the
	// replica.
	LocalLoad int
	// LocalLongLoad is the number of long requests in LocalLoad.
	LocalLongLoad int
}

// Key identifies one generation of a replica: a repaired replica keeps its name
// and gets a new generation.
type Key struct {
	Name       string
	Generation uint64
}

// KeyOf returns the key of a replica.
func KeyOf(r *wire.Replica) Key { return Key{Name: r.GetName(), Generation: r.GetGeneration()} }

// Request holds the properties of a request that the decision depends on.
type Request struct {
	// Long says that the response is expected to be long.
	Long bool
	// Contended says that requests are waiting in this entry; it then takes only
	// its share of the free slots, so that other entries get theirs.
	Contended bool
	// Tried holds the replicas that refused this request or failed while serving
	// it.
	Tried map[Key]bool
}

// Router chooses a replica for each request. The zero value counts no replica as
// ready and does not limit long requests; set the fields before use.
type Router struct {
	// DataCentre is the data centre whose replicas are preferred.
	DataCentre string
	// EvidenceLimit is the greatest age of Candidate.Confirmed at which the
	// replica still counts as ready.
	EvidenceLimit time.Duration
	// LongShare is the fraction of the slots that long requests may hold; 0 means
	// all.
	LongShare float64
	// Entries is how many entries share the replicas; 0 means 1. Each may use an
	// equal part of the slots open to long requests and, while requests contend,
	// of the free slots.
	Entries int
	// Salt differs between entries, so that they do not all break ties the same
	// way.
	Salt uint64
}

// Decision is the result of Route.
type Decision struct {
	// Chosen is nil when no candidate can take the request now.
	Chosen *Candidate
	// Reason says why Chosen was chosen, or why it is nil.
	Reason Reason
	// Usable is the number of candidates that can serve the request, full ones
	// included.
	Usable int
}

// Route chooses a candidate. It prefers the data centre of the router, then the
// lowest load per slot.
func (r *Router) Route(q Request, candidates []Candidate, now time.Time) Decision {
	d := Decision{Reason: ReasonNoReplica}
	var slots, long int
	for i := range candidates {
		c := &candidates[i]
		if reason := r.exclusionReason(q, c, now); reason != "" {
			if d.Usable == 0 {
				d.Reason = reason
			}
			continue
		}
		d.Usable++
		slots += int(c.Replica.GetSlots())
		long += c.LocalLongLoad
		if isFull(c) || q.Long && r.isLongFull(c) || q.Contended && !r.mayTakeFreeSlot(c) {
			if d.Chosen == nil {
				d.Reason = ReasonFull
			}
			continue
		}
		if d.Chosen == nil || r.isBetter(c, d.Chosen) {
			d.Chosen = c
		}
	}
	if d.Chosen == nil {
		return d
	}
	if q.Long && r.LongShare > 0 && long >= r.longLimit(slots) {
		d.Chosen, d.Reason = nil, ReasonLongShare
		return d
	}
	d.Reason = ReasonLeastLoad
	if d.Chosen.DataCentre != r.DataCentre {
		d.Reason = ReasonSpill
	}
	return d
}

// exclusionReason returns why a candidate cannot serve the request at all, or ""
// if it can.
func (r *Router) exclusionReason(q Request, c *Candidate, now time.Time) Reason {
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

// isBetter reports whether a is a better choice than b.
func (r *Router) isBetter(a, b *Candidate) bool {
	if (a.DataCentre == r.DataCentre) != (b.DataCentre == r.DataCentre) {
		return a.DataCentre == r.DataCentre
	}
	if x, y := load(a)*int(b.Replica.GetSlots()), load(b)*int(a.Replica.GetSlots()); x != y {
		return x < y
	}
	return r.Entries > 1 && r.random(a) < r.random(b)
}

// load returns the estimated number of requests at the replica. A slot that this
// entry released counts as free for it at once, and for other entries only after
// the next load report; otherwise entries, which do not coordinate, would all
// fill the same slot.
func load(c *Candidate) int { return max(c.ReportedLoad+c.LoadChange, c.LocalLoad) }

// isFull reports whether the replica has no free slot.
func isFull(c *Candidate) bool { return c.Refused || load(c) >= int(c.Replica.GetSlots()) }

// mayTakeFreeSlot reports whether this entry may take a free slot while requests
// contend for slots. It may always take back a slot that it released itself since
// the last report. The other free slots are divided equally among the entries in
// each report interval. A pseudo-random number decides which entries get the
// remainder, so that about as many entries send a request as there are slots.
func (r *Router) mayTakeFreeSlot(c *Candidate) bool {
	if c.LoadChange < 0 {
		return true
	}
	entries := uint64(max(1, r.Entries))
	free := uint64(max(0, int(c.Replica.GetSlots())-c.ReportedLoad))
	share := free / entries
	if r.random(c)%entries < free%entries {
		share++
	}
	return uint64(c.LoadChange) < share
}

// random returns a pseudo-random number that is fixed for this entry, the replica
// and its last load report.
func (r *Router) random(c *Candidate) uint64 {
	return splitMix64(xxhash.Sum64String(c.Replica.GetName()) ^ r.Salt ^ uint64(c.ReportedAt.UnixNano()))
}

// UniformFloat maps x to a number in [0, 1), such that nearby inputs give
// uniformly distributed results.
func UniformFloat(x uint64) float64 { return float64(splitMix64(x)>>11) / (1 << 53) }

// splitMix64 is the finalizer of the SplitMix64 generator; it maps nearby inputs
// to unrelated outputs.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// longLimit returns how many long requests this entry may have in flight on
// replicas with that many slots in total.
func (r *Router) longLimit(slots int) int {
	return max(1, int(r.LongShare*float64(slots)/float64(max(1, r.Entries))))
}

// isLongFull reports whether the long requests of this entry use up the share of
// this replica that is open to long requests.
func (r *Router) isLongFull(c *Candidate) bool {
	if r.LongShare == 0 {
		return false
	}
	return c.LocalLongLoad >= max(1, int(r.LongShare*float64(c.Replica.GetSlots())))
}
