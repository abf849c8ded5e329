package sharer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// All processes learn the latest term that one of them has.
func TestLeaseTermNotExchanged(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		time.Sleep(3 * time.Second)
		for name, p := range s.processes {
			assert.Equal(t, uint64(5), p.totalLoad().LeaseTerm, name)
		}
	})
}
