package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
)

// The numbers of orders of upstreams that are gone are removed.
func TestOrderCountsOfGoneUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rounds = 40
		u := &upstreams{reports: make(map[string]cataloguer.Report)}
		var k cataloguer.Catalogue
		var x *conductor.Conductor
		list := threeUpstreams()
		for _, m := range list {
			u.reports[m.ID] = cataloguer.Report{Group: m.Group}
		}
		go func() {
			for n := range uint64(rounds) {
				time.Sleep(30 * time.Second)
				spare := cataloguer.Upstream{ID: fmt.Sprintf("spare-%d", n)}
				setFleet(&k, n+2, append(list, spare)...)
			}
		}()
		runWithSetup(&k, (rounds+2)*30*time.Second, u, lease{}, func(bool) {}, func(c *conductor.Conductor) { x = c }, list...)
		assert.Positive(t, x.OrderCountSize())
		assert.LessOrEqual(t, x.OrderCountSize(), len(list)+1)
	})
}
