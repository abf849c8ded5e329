package composer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
)

// While no caller has sent a request, an instance without a gatherer reads changes in
// large batches: of 300 instances that start together, each would otherwise read every
// batch of upstreams that register.
func TestBatchDelays(t *testing.T) {
	const longest = 2 * time.Second
	testCases := []struct {
		name                string
		state               composer.ReaderState
		list, configuration time.Duration
	}{
		{name: "leading", state: composer.ReaderState{Leading: true}, list: 60 * time.Millisecond, configuration: 750 * time.Millisecond},
		{name: "reader", state: composer.ReaderState{Reads: true}, list: 200 * time.Millisecond},
		{name: "reader, busy", state: composer.ReaderState{Reads: true, Busy: true}, list: 200 * time.Millisecond},
		{name: "without peers yet", state: composer.ReaderState{Instances: 8}, list: 1500 * time.Millisecond, configuration: 750 * time.Millisecond},
		{name: "behind a peer", state: composer.ReaderState{Follows: true}, list: 200 * time.Millisecond, configuration: 200 * time.Millisecond},
		{name: "behind a peer, busy", state: composer.ReaderState{Follows: true, Busy: true}},
		{name: "without peers, busy", state: composer.ReaderState{Instances: 8, Busy: true}, list: 320 * time.Millisecond},
		{name: "many without peers, busy", state: composer.ReaderState{Instances: 300, Busy: true}, list: longest},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			tc.state.Longest = longest
			assert.Equal(t, tc.list, tc.state.ListDelay())
			assert.Equal(t, tc.configuration, tc.state.ConfigurationDelay())
		})
	}
}
