package conductor_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// countingCatalogue counts how often the configuration is read, which each decision
// does once.
type countingCatalogue struct {
	*cataloguer.Catalogue
	reads atomic.Int64
}

func (c *countingCatalogue) Configuration() *cataloguer.Configuration {
	c.reads.Add(1)
	return c.Catalogue.Configuration()
}

// In a large fleet the numbers of checks and of decisions per second are bounded, and a
// group that callers suspect is still closed soon after the loss of a member.
func TestChecksAndDecisionsOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, seconds = 300, 10
		u := &upstreams{reports: make(map[string]cataloguer.Report), answerDelays: make(map[string]time.Duration)}
		var list []cataloguer.Upstream
		for g := range groups {
			for rank, x := range threeUpstreams() {
				x.ID, x.Group.Name, x.Group.Epoch = fmt.Sprintf("%s%d", x.ID, g), fmt.Sprint("g", g), uint64(g+1)
				u.reports[x.ID] = cataloguer.Report{Group: x.Group}
				u.answerDelays[x.ID] = time.Duration((3*g+rank)%250) * time.Millisecond
				list = append(list, x)
			}
		}
		var k cataloguer.Catalogue
		counting := &countingCatalogue{Catalogue: &k}
		var lostAt time.Time
		setup := func(x *conductor.Conductor) {
			x.Catalogue = counting
			time.AfterFunc(8*time.Second, func() {
				lostAt = time.Now()
				u.lose("c7")
				x.Suspect("a7")
			})
		}
		runWithSetup(&k, seconds*time.Second, u, lease{}, func(bool) {}, setup, list...)
		assert.LessOrEqual(t, counting.reads.Load(), int64(seconds*50+1))
		// The first check of each member begins at once.
		assert.LessOrEqual(t, u.reportCount, 3*groups+seconds*320)
		closes := u.ordersTo(grouper.OperationClose, "a7")
		if assert.NotEmpty(t, closes) {
			assert.Less(t, u.times[0].Sub(lostAt), time.Second)
		}
	})
}
