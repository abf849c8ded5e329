package grouper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// A group of the right size whose members include no head is not complete, so it is
// not opened.
func TestGroupWithoutHeadIsNotOpened(t *testing.T) {
	s := newSimulation()
	s.add("a", 3)
	list := make(map[string]cataloguer.Upstream)
	for i, id := range s.ids {
		u := s.upstreams[id].Upstream
		u.Group = cataloguer.Membership{Name: "g", Epoch: 4, Rank: i + 1, State: cataloguer.MemberReady, Model: "small"}
		list[id] = u
	}
	orders := s.grouper.Decide(time.Unix(1_800_000_000, 0), grouper.Snapshot{
		Engine: &s.engine, Service: _service, Fleet: cataloguer.NewFleet(1, list), TrafficStarted: true, Term: 1,
	})
	for _, o := range orders {
		assert.NotEqual(t, grouper.OperationOpen, o.Operation)
	}
}
