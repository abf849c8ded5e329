package leaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// A process takes over at once what an earlier life of it holds, and waits for the
// lapse of what another process holds.
func TestEarlierLife(t *testing.T) {
	for holder, soon := range map[string]bool{"a/1": true, "b/1": false} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			first, stopFirst := start(s, holder)
			time.Sleep(time.Second)
			assert.True(t, first.Held(time.Now()))
			stopFirst()
			next, stopNext := startNamed(s, "a/2", "a")
			defer stopNext()
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, soon, next.Held(time.Now()), holder)
		})
	}
}
