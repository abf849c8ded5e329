package composer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/composer"
)

// instances is a number of instances that were counted or assumed.
type instances struct {
	count   int
	counted bool
}

func (i instances) Count() int    { return i.count }
func (i instances) Counted() bool { return i.counted }

// Instances that start together don't take parts of the slack by an assumed number.
func TestRetrySlack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &budgeter.Share{Window: 10 * time.Second}
	assert.Zero(t, composer.RetrySlack(308, instances{count: 8}, s, now))
	assert.InDelta(t, 4, composer.RetrySlack(308, instances{count: 76, counted: true}, s, now), 1e-9)
}

// The part does not rise while the instances that have left may have used theirs.
func TestRetrySlackAfterStops(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &budgeter.Share{Window: 10 * time.Second}
	assert.InDelta(t, 4, composer.RetrySlack(308, instances{count: 76, counted: true}, s, now), 1e-9)
	assert.InDelta(t, 4, composer.RetrySlack(308, instances{count: 6, counted: true}, s, now.Add(10*time.Second)), 1e-9)
	assert.InDelta(t, 44, composer.RetrySlack(308, instances{count: 6, counted: true}, s, now.Add(11*time.Second)), 1e-9)
}
