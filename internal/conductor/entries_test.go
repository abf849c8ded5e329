package conductor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// An upstream that is cut off from the platform, and has left its group since, joins another
// one while its entry still shows the group: the group needs no load of the model then.
func TestUpstreamWithOutdatedEntryJoinsGroup(t *testing.T) {
	for _, tc := range []struct {
		name string
		// listedAt is when the entry shows the older group.
		listedAt time.Duration
		joins    bool
	}{
		{name: "the report is later than the entry", joins: true},
		{name: "the entry may be later than the report", listedAt: 5800 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, b, c := threeMembers()
				free := cataloguer.Report{StagedModels: []string{"m"}}
				u := &upstreams{reports: map[string]cataloguer.Report{"b": free, "c": free, "d": free, "e": free}}
				// The head of the older group is gone, and two others are free.
				b.Group.Name, b.Group.Epoch = "", 0
				var k cataloguer.Catalogue
				list := []cataloguer.Upstream{b, c, {ID: "d"}}
				if tc.listedAt > 0 {
					time.AfterFunc(tc.listedAt, func() { setFleet(&k, 2, list...) })
					list = list[:1]
				}
				runOnCatalogue(&k, 7*time.Second, u, lease{}, func(bool) {}, list...)
				assert.Equal(t, tc.joins, len(u.ordersTo(grouper.OperationJoin, "c")) > 0)
				assert.Empty(t, u.ordersTo(grouper.OperationLeave, "c"))
			})
		})
	}
}
