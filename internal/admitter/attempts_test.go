package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
)

// A request with clearly less time left than others on its route is returning. Where
// all callers wait less than before, they soon count as first attempts.
func TestIsReturning(t *testing.T) {
	var a admitter.RouteAttempts
	now := time.Unix(1_800_000_000, 0)
	assert.False(t, a.IsReturning("r", now, 8*time.Second))
	assert.False(t, a.IsReturning("r", now, 7900*time.Millisecond))
	assert.True(t, a.IsReturning("r", now, 6*time.Second))
	for range 20 {
		now = now.Add(10 * time.Second)
		a.IsReturning("r", now, 5*time.Second)
	}
	assert.False(t, a.IsReturning("r", now, 5*time.Second))
	assert.True(t, a.IsReturning("r", now, 4*time.Second))
	assert.False(t, a.IsReturning("r", now.Add(time.Hour), time.Second))
}

// Routes that are gone are forgotten.
func TestRoutesAreForgotten(t *testing.T) {
	var a admitter.RouteAttempts
	now := time.Unix(1_800_000_000, 0)
	for i := range 10_000 {
		now = now.Add(time.Second)
		assert.False(t, a.IsReturning(fmt.Sprint("r", i), now, time.Second))
	}
	assert.LessOrEqual(t, a.Routes(), 60)
}
