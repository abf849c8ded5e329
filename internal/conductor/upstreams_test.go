package conductor_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// lease is a lease of term 7 that this process holds, or held last if it has expired.
// The epochs of term 7 start at 7<<20.
type lease struct {
	expired bool
	// heldFrom is when this process takes the lease; the zero time means at once.
	heldFrom time.Time
	// renewedAt is when the lease was last renewed; nil means never.
	renewedAt *atomic.Pointer[time.Time]
	// observed has the latest term that was observed; nil to ignore terms.
	observed *atomic.Uint64
}

func (l lease) Held(now time.Time) bool { return !l.expired && !now.Before(l.heldFrom) }
func (lease) WasLastHolder() bool       { return true }
func (lease) Term() uint64              { return 7 }

func (l lease) ObserveTerm(term uint64) {
	if l.observed != nil {
		l.observed.Store(max(l.observed.Load(), term))
	}
}

func (l lease) LatestTerm() uint64 {
	if l.observed == nil {
		return l.Term()
	}
	return max(l.observed.Load(), l.Term())
}

func (l lease) RenewedAt() time.Time {
	if l.renewedAt == nil || l.renewedAt.Load() == nil {
		return time.Time{}
	}
	return *l.renewedAt.Load()
}

// upstreams is an UpstreamClient that answers reports from a table and records orders.
type upstreams struct {
	mu      sync.Mutex
	reports map[string]cataloguer.Report
	orders  []conductor.Command
	// reportCount is the number of reports that were asked for.
	reportCount int
	times       []time.Time // when each order was given
	// orderAddedAt is when the report of "a" starts to show one order more.
	orderAddedAt time.Time
	// From unreachableFrom until reachableFrom no upstream can be reached: a report
	// fails after the upstream's delay in failureDelays.
	unreachableFrom, reachableFrom time.Time
	failureDelays                  map[string]time.Duration
	// answerDelays holds how long an upstream that can be reached takes to report.
	answerDelays map[string]time.Duration
	// lost holds the upstreams that never answer.
	lost map[string]bool
	// fenced makes all upstreams refuse orders because of their fencing token.
	fenced bool
}

// isUnreachable reports whether an upstream can't be reached now.
func (u *upstreams) isUnreachable(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	return u.lost[id] || !u.unreachableFrom.IsZero() && !now.Before(u.unreachableFrom) && now.Before(u.reachableFrom)
}

func (u *upstreams) Report(_ context.Context, x cataloguer.Upstream) (cataloguer.Report, error) {
	u.mu.Lock()
	u.reportCount++
	u.mu.Unlock()
	if u.isUnreachable(x.ID) {
		time.Sleep(u.failureDelays[x.ID])
		return cataloguer.Report{}, errors.New("no answer")
	}
	time.Sleep(u.answerDelays[x.ID])
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.reports[x.ID]
	if x.ID == "a" && !u.orderAddedAt.IsZero() && !time.Now().Before(u.orderAddedAt) {
		r.Orders++
	}
	return r, nil
}

func (u *upstreams) Order(_ context.Context, _ cataloguer.Upstream, c conductor.Command) (bool, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.orders = append(u.orders, c)
	u.times = append(u.times, time.Now())
	if u.fenced {
		return false, conductor.ErrFenced
	}
	return true, nil
}

// ordersTo returns the orders of an operation that an upstream was given.
func (u *upstreams) ordersTo(operation grouper.Operation, id string) []conductor.Command {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []conductor.Command
	for _, c := range u.orders {
		if c.Operation == operation && c.Upstream == id {
			out = append(out, c)
		}
	}
	return out
}

// countReports returns how many reports were asked for.
func (u *upstreams) countReports() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reportCount
}

// timesOf returns when an upstream was given the orders of an operation.
func (u *upstreams) timesOf(operation grouper.Operation, id string) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []time.Time
	for i, c := range u.orders {
		if c.Operation == operation && c.Upstream == id {
			out = append(out, u.times[i])
		}
	}
	return out
}

// setFenced makes all upstreams refuse orders because of their fencing token, or accept
// them.
func (u *upstreams) setFenced(fenced bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fenced = fenced
}

// lose makes an upstream stop answering for good.
func (u *upstreams) lose(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lost == nil {
		u.lost = make(map[string]bool)
	}
	u.lost[id] = true
}

// threeMembers returns the members of an open group, the head first.
func threeMembers() (a, b, c cataloguer.Upstream) {
	member := func(id string, rank int, state cataloguer.MemberState) cataloguer.Upstream {
		return cataloguer.Upstream{ID: id, Group: cataloguer.Membership{Name: "g", Epoch: 5, Rank: rank, State: state, Model: "m"}}
	}
	return member("a", 0, cataloguer.MemberOpen), member("b", 1, cataloguer.MemberReady), member("c", 2, cataloguer.MemberReady)
}

// threeUpstreams returns the members of an open group by rank.
func threeUpstreams() []cataloguer.Upstream {
	a, b, c := threeMembers()
	return []cataloguer.Upstream{a, b, c}
}

// runConductor runs a conductor that holds the lease for d on a fixed fleet.
func runConductor(d time.Duration, u *upstreams, list ...cataloguer.Upstream) {
	runWithLease(d, u, lease{}, func(bool) {}, list...)
}

// runWithLease runs a conductor for d on a fixed fleet. The platform's list is
// unavailable if the lease has expired.
func runWithLease(d time.Duration, u *upstreams, l lease, leading func(bool), list ...cataloguer.Upstream) {
	var k cataloguer.Catalogue
	k.SetListUnavailable(l.expired)
	runOnCatalogue(&k, d, u, l, leading, list...)
}

// setFleet sets the catalogue's fleet to the upstreams given, all in one domain and
// with the model staged.
func setFleet(k *cataloguer.Catalogue, revision uint64, list ...cataloguer.Upstream) {
	fleet := make(map[string]cataloguer.Upstream)
	for _, x := range list {
		x.Service, x.Domain, x.StagedModels = "s", "d", []string{"m"}
		fleet[x.ID] = x
	}
	k.SetFleet(cataloguer.NewFleet(revision, fleet))
}

// runOnCatalogue runs a conductor for d on a catalogue that starts with the fleet given.
func runOnCatalogue(k *cataloguer.Catalogue, d time.Duration, u *upstreams, l lease, leading func(bool), list ...cataloguer.Upstream) {
	runWithSetup(k, d, u, l, leading, func(*conductor.Conductor) {}, list...)
}

// runWithSetup is runOnCatalogue with a call of setup before the conductor runs.
func runWithSetup(k *cataloguer.Catalogue, d time.Duration, u *upstreams, l lease, leading func(bool), setup func(*conductor.Conductor), list ...cataloguer.Upstream) {
	c := &cataloguer.Configuration{Version: 1, Services: map[string]cataloguer.Service{"s": {Name: "s", Engine: &cataloguer.Engine{
		Slots: 26, Models: []cataloguer.Model{{Name: "m", GroupSize: 3, InitialShare: 1, TimeFactor: 1, LoadTime: time.Second, WarmUpTime: time.Second}},
	}}}}
	c.Index()
	k.SetConfiguration(c)
	setFleet(k, 1, list...)
	x := &conductor.Conductor{Lease: l, OnLeadingChange: leading, Catalogue: k, Upstreams: u, TrafficStarted: func() bool { return true }}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	setup(x)
	x.Run(ctx)
}
