package conductor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Guards against a holder whose term the store has given out again, so that upstreams refuse its
// epochs for good: it learns later terms from entries, reports and refused orders. A term that no
// store can have lost is an error of the upstream.
func TestLaterTermsAreObserved(t *testing.T) {
	group := func(rank int, epoch uint64) cataloguer.Membership {
		return cataloguer.Membership{Name: "g", Epoch: epoch, Rank: rank, State: cataloguer.MemberReady, Model: "m"}
	}
	testCases := []struct {
		name            string
		listed, showing uint64 // epochs of the entries and the reports
		fenced          bool
		want            uint64
	}{
		{name: "not later", listed: 6 << 20, showing: 7<<20 + 3, want: 7},
		{name: "listed", listed: 9<<20 + 5, showing: 9<<20 + 5, want: 9},
		{name: "reported", listed: 6 << 20, showing: 8 << 20, want: 8},
		{name: "implausible", listed: 1 << 60, showing: 1 << 60, want: 0},
		{name: "refused", listed: 6 << 20, showing: 6 << 20, fenced: true, want: 8},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstreams{reports: make(map[string]cataloguer.Report), fenced: tc.fenced}
				var list []cataloguer.Upstream
				for rank, id := range []string{"a", "b", "c"} {
					u.reports[id] = cataloguer.Report{Group: group(rank, tc.showing)}
					list = append(list, cataloguer.Upstream{ID: id, Group: group(rank, tc.listed)})
				}
				l := lease{renewedAt: &atomic.Pointer[time.Time]{}, observed: &atomic.Uint64{}}
				stop := make(chan struct{})
				go func() { // the lease is renewed twice a second
					for {
						select {
						case <-stop:
							return
						case <-time.After(500 * time.Millisecond):
							now := time.Now()
							l.renewedAt.Store(&now)
						}
					}
				}()
				runWithLease(5*time.Second, u, l, nil, list...)
				close(stop)
				assert.Equal(t, tc.want, l.observed.Load())
			})
		})
	}
}
