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

// largeFleet returns the members of open groups and their client.
func largeFleet(groups int) (u *upstreams, list []cataloguer.Upstream) {
	u = &upstreams{reports: make(map[string]cataloguer.Report), answerDelays: make(map[string]time.Duration)}
	for g := range groups {
		for rank, x := range threeUpstreams() {
			x.ID, x.Group.Name, x.Group.Epoch = fmt.Sprintf("%s%d", x.ID, g), fmt.Sprint("g", g), uint64(g+1)
			u.reports[x.ID] = cataloguer.Report{Group: x.Group}
			u.answerDelays[x.ID] = time.Duration((3*g+rank)%250) * time.Millisecond
			list = append(list, x)
		}
	}
	return u, list
}

// A process with a fifth of a core that begins to lead spreads the first checks of a large
// fleet. Those of a suspected group go first.
func TestFirstChecksOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, list := largeFleet(300)
		counts := make([]int, 40) // of reports, at the end of each tenth of a second
		var suspectedAt time.Time
		setup := func(x *conductor.Conductor) {
			x.ProcessorShare = 0.2
			for i := range counts {
				time.AfterFunc(time.Duration(i+1)*100*time.Millisecond, func() { counts[i] = u.countReports() })
			}
			u.lose("c7")
			time.AfterFunc(250*time.Millisecond, func() {
				suspectedAt = time.Now()
				x.Suspect("a7")
			})
		}
		runWithSetup(&cataloguer.Catalogue{}, 4100*time.Millisecond, u, lease{}, func(bool) {}, setup, list...)
		synctest.Wait() // orders the timers' writes before the reads that follow
		for i, n := range counts {
			assert.LessOrEqual(t, n, 30+30*(i+1), "tenth %d", i)
		}
		assert.GreaterOrEqual(t, counts[35], len(list))
		if closes := u.timesOf(grouper.OperationClose, "a7"); assert.NotEmpty(t, closes) {
			assert.Less(t, closes[0].Sub(suspectedAt), time.Second)
		}
	})
}

// In a large fleet the numbers of checks and of decisions per second are bounded, and a
// group that callers suspect is still closed soon after the loss of a member.
func TestChecksAndDecisionsOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, seconds = 300, 10
		u, list := largeFleet(groups)
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
		synctest.Wait() // orders the timers' writes before the reads that follow
		assert.LessOrEqual(t, counting.reads.Load(), int64(seconds*50+1))
		// The first check of each member begins at once.
		assert.LessOrEqual(t, u.reportCount, 3*groups+seconds*320)
		closes := u.ordersTo(grouper.OperationClose, "a7")
		if assert.NotEmpty(t, closes) {
			assert.Less(t, u.times[0].Sub(lostAt), time.Second)
		}
	})
}
