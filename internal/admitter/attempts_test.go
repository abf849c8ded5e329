package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
)

// A request with clearly less time left than others on its route is returning. Where
// all callers wait less than before, they soon count as first attempts.
func TestIsReturning(t *testing.T) {
	var a admitter.Attempts
	now := time.Unix(1_800_000_000, 0)
	assert.False(t, a.IsReturning(now, 8*time.Second))
	assert.False(t, a.IsReturning(now, 7900*time.Millisecond))
	assert.True(t, a.IsReturning(now, 6*time.Second))
	for range 20 {
		now = now.Add(10 * time.Second)
		a.IsReturning(now, 5*time.Second)
	}
	assert.False(t, a.IsReturning(now, 5*time.Second))
	assert.True(t, a.IsReturning(now, 4*time.Second))
	assert.False(t, a.IsReturning(now.Add(time.Hour), time.Second))
}
