package conductor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// A process that takes the lease over does not close a group one of whose members is missing
// from the platform's list by then, but still answers.
func TestGroupStaysOpenWhenLeaseIsTakenOver(t *testing.T) {
	for _, memberLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a, b, c := threeMembers()
			u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: a.Group}, "b": {Group: b.Group}, "c": {Group: c.Group}}}
			if memberLost {
				u.lose("c")
			}
			start := time.Now()
			var k cataloguer.Catalogue
			time.AfterFunc(3*time.Second, func() { setFleet(&k, 2, a, b) })
			// Nothing changes in the list when the lease is taken.
			runOnCatalogue(&k, 12*time.Second, u, lease{heldFrom: start.Add(5 * time.Second)}, func(bool) {}, a, b, c)
			closes := u.timesOf(grouper.OperationClose, "a")
			assert.Equal(t, memberLost, len(closes) > 0)
			if len(closes) > 0 {
				assert.Less(t, closes[0].Sub(start), 7*time.Second)
			}
		})
	}
}
