package cataloguer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Upstream is a server that requests are forwarded to, as it last described
// itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string // host:port by IP number
	DataCentre string
	// Draining is true if the upstream is about to leave.
	Draining bool
	// Unlisted is true if the platform's list no longer contains the upstream
	// although the upstream still answers.
	Unlisted bool
	// Outdated is true if the upstream has reported another group than the platform's list
	// shows, so that the upstream may be cut off from the platform.
	Outdated bool
	Slots    int
	// ColdTime is how much longer the upstream was cold when it described itself.
	ColdTime time.Duration
	// StartedMs is when the upstream last started, in Unix milliseconds; 0 if
	// unknown.
	StartedMs int64
	// Domain is the fabric domain. All members of a group are in the same domain. It
	// is empty for upstreams of plain services.
	Domain string
	// StagedModels are the names of the staged models: those that are on the
	// upstream's host, so that the upstream loads them faster.
	StagedModels []string
	// Group is the upstream's group membership; its Name is empty if the upstream
	// is in no group.
	Group Membership
}

// MemberState is the state of a member in its group.
type MemberState string

// Member states.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is an upstream's membership of a group: the group, its epoch, and the
// member's rank, state and model.
type Membership struct {
	Name  string
	Epoch uint64
	// Rank is the member's position in the group. Rank 0 is the head, which
	// receives the group's requests.
	Rank  int
	State MemberState
	// Model is the model that the upstream has loaded.
	Model string
}

// IsServingHead reports whether the member is the head of a group that has
// requests or may receive them: its state is open or closing.
func (m Membership) IsServingHead() bool {
	return m.Name != "" && m.Rank == 0 && (m.State == MemberOpen || m.State == MemberClosing)
}

// Report is the state that an upstream reports of itself. Group, StartedMs and
// StagedModels are as in Upstream.
type Report struct {
	Group        Membership
	StartedMs    int64
	StagedModels []string
	// OrderInProgress is true while the upstream carries out an order.
	OrderInProgress bool
	// Orders is the number of orders that began an operation since the upstream
	// last started.
	Orders uint64
	// Leaving is true if the upstream has announced that it is leaving.
	Leaving bool
	// Limit is the number of requests per second that the upstream takes from all
	// processes together, if LimitStated is true.
	Limit       float64
	LimitStated bool
	Waiting     int // queued requests
	Running     int // requests being processed
	// TimeFactor multiplies the upstream's times; it is over 1 if the upstream is
	// slow.
	TimeFactor float64
}

// Fleet is the set of upstreams, by id, at one revision of the platform's list.
// It is immutable once it is published.
type Fleet struct {
	Revision         uint64
	Upstreams        map[string]Upstream
	openHeadsByModel map[[2]string][]Upstream // by service and model

	mu sync.Mutex
	// byService holds the results of OfService.
	byService map[string][]Upstream
}

// NewFleet returns the fleet of the upstreams given. It keeps the map, which the
// caller must not change afterwards.
func NewFleet(revision uint64, upstreams map[string]Upstream) *Fleet {
	f := &Fleet{Revision: revision, Upstreams: upstreams, openHeadsByModel: make(map[[2]string][]Upstream)}
	for _, u := range upstreams {
		if u.IsOpenHead() {
			k := [2]string{u.Service, u.Group.Model}
			f.openHeadsByModel[k] = append(f.openHeadsByModel[k], u)
		}
	}
	for _, list := range f.openHeadsByModel {
		slices.SortFunc(list, compareIDs)
	}
	return f
}

func compareIDs(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

// HasDataCentre reports whether an upstream is in a data centre.
func (f *Fleet) HasDataCentre(name string) bool {
	for _, u := range f.Upstreams {
		if u.DataCentre == name {
			return true
		}
	}
	return false
}

// IsOpenHead reports whether the upstream is the head of an open group.
func (u *Upstream) IsOpenHead() bool {
	return u.Group.Name != "" && u.Group.Rank == 0 && u.Group.State == MemberOpen
}

// OfService returns the upstreams of a service, sorted by id. Callers must not
// change the slice. The list is made at the first call, since most processes need that
// of a service with engines never and each new fleet replaces it.
func (f *Fleet) OfService(service string) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, ok := f.byService[service]
	if ok {
		return list
	}
	for _, u := range f.Upstreams {
		if u.Service == service {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, compareIDs)
	if f.byService == nil {
		f.byService = make(map[string][]Upstream)
	}
	f.byService[service] = list
	return list
}

// OpenHeads returns the heads of a model's open groups, sorted by id. Callers must
// not change the slice.
func (f *Fleet) OpenHeads(service, model string) []Upstream {
	return f.openHeadsByModel[[2]string{service, model}]
}
