package cataloguer

import (
	"cmp"
	"slices"
)

// Upstream is a back end as it last described itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string // host:port by IP number
	DataCentre string
	// Draining says that the upstream is about to leave.
	Draining bool
	// Unlisted says that the platform's list does not show the upstream any more,
	// although it answers.
	Unlisted bool
	Slots    int
	// StartedMs is the start of this life, in Unix milliseconds; 0 where unknown.
	StartedMs int64
	// Domain is the fabric domain, empty for plain services.
	Domain string
	// StagedModels are the models on the host.
	StagedModels []string
	// Group is the upstream's membership; its Name is empty where it has none.
	Group Membership
}

// MemberState is a member's state in its group.
type MemberState string

// States of members.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is an upstream's place in a group.
type Membership struct {
	Name  string
	Epoch uint64
	// Rank is 0 for the head, which takes the group's requests.
	Rank  int
	State MemberState
	// Model is the model that the upstream has loaded.
	Model string
}

// IsServingHead says that the member is the head of a group that has requests or may
// take them.
func (m Membership) IsServingHead() bool {
	return m.Name != "" && m.Rank == 0 && (m.State == MemberOpen || m.State == MemberClosing)
}

// Report is an upstream's own account of itself.
type Report struct {
	Group        Membership
	StartedMs    int64
	StagedModels []string
	// OrderInProgress says that an order is in progress.
	OrderInProgress bool
	// Orders is the number of orders that began something in this life.
	Orders  uint64
	Waiting int
	Running int
	// TimeFactor is over 1 where the upstream is slow.
	TimeFactor float64
}

// Fleet is the set of upstreams at one revision of the platform's list. It does
// not change once it is published.
type Fleet struct {
	Revision  uint64
	Upstreams map[string]Upstream
	byService map[string][]Upstream
	byModel   map[[2]string][]Upstream
}

// NewFleet returns the fleet of the upstreams given, which it keeps.
func NewFleet(revision uint64, upstreams map[string]Upstream) *Fleet {
	f := &Fleet{
		Revision: revision, Upstreams: upstreams,
		byService: make(map[string][]Upstream), byModel: make(map[[2]string][]Upstream),
	}
	for _, u := range upstreams {
		f.byService[u.Service] = append(f.byService[u.Service], u)
		if u.IsOpenHead() {
			k := [2]string{u.Service, u.Group.Model}
			f.byModel[k] = append(f.byModel[k], u)
		}
	}
	byID := func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range f.byService {
		slices.SortFunc(list, byID)
	}
	for _, list := range f.byModel {
		slices.SortFunc(list, byID)
	}
	return f
}

// IsOpenHead says that the upstream is the head of an open group.
func (u *Upstream) IsOpenHead() bool {
	return u.Group.Name != "" && u.Group.Rank == 0 && u.Group.State == MemberOpen
}

// OfService returns the upstreams of a plain service, in the order of their
// ids. Callers must not change it.
func (f *Fleet) OfService(service string) []Upstream {
	return f.byService[service]
}

// OpenHeads returns the heads of a model's open groups, in the order of their ids.
// Callers must not change it.
func (f *Fleet) OpenHeads(service, model string) []Upstream {
	return f.byModel[[2]string{service, model}]
}
