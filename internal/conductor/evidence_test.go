package conductor_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

var _evidenceSeeds = flag.Uint64("conductor.evidence-seeds", 60, "`number` of seeds of TestOldListDecidesNothing")

// A process takes the lease at a random time with a list that is older than the loss of a member,
// or that has lost the entry of a member that answers. It opens no group with a member that was
// lost before, and closes none whose members all answer.
func TestOldListDecidesNothing(t *testing.T) {
	for seed := range *_evidenceSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { takeOverWithOldList(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func takeOverWithOldList(t *testing.T, random *rand.Rand) {
	upTo := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	a, b, c := threeMembers()
	members := []*cataloguer.Upstream{&a, &b, &c}
	isOpen, memberLost, entryLost, listAway := random.IntN(2) == 0, random.IntN(2) == 0, random.IntN(3) == 0, random.IntN(3) == 0
	u := &upstreams{reports: make(map[string]cataloguer.Report), answerDelays: make(map[string]time.Duration), failureDelays: make(map[string]time.Duration)}
	for _, x := range members {
		if !isOpen {
			x.Group.State = cataloguer.MemberReady
		}
		u.reports[x.ID] = cataloguer.Report{Group: x.Group}
		u.answerDelays[x.ID], u.failureDelays[x.ID] = upTo(250*time.Millisecond), 290*time.Millisecond
	}
	var k cataloguer.Catalogue
	start, takenAfter := time.Now(), upTo(4*time.Second)
	switch {
	case memberLost && listAway:
		u.lose("c") // this process was the last holder, and checks members without the lease
	case memberLost:
		time.AfterFunc(upTo(takenAfter), func() { u.lose("c") })
	}
	if entryLost {
		time.AfterFunc(upTo(takenAfter+2*time.Second), func() { setFleet(&k, 2, a, b) })
	}
	if listAway {
		k.SetListUnavailable(true)
		time.AfterFunc(upTo(6*time.Second), func() { k.SetListUnavailable(false) })
	}
	runOnCatalogue(&k, 12*time.Second, u, lease{heldFrom: start.Add(takenAfter)}, func(bool) {}, a, b, c)
	opens, closes := u.ordersTo(grouper.OperationOpen, "a"), u.ordersTo(grouper.OperationClose, "a")
	if memberLost {
		assert.Empty(t, opens, "c was lost before the lease was taken")
	} else {
		assert.Empty(t, closes, "all members answer")
	}
}
