package composer_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
	assert.Zero(t, composer.RetrySlack(308, instances{count: 8}))
	assert.InDelta(t, 4, composer.RetrySlack(308, instances{count: 77, counted: true}), 1e-9)
}
