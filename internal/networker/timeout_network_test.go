package networker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// TestTimeoutNetworkEndsDials requests the status of an instance that drops
// packets. If the dial didn't end after DialTimeout, it would still be blocked
// at the end of the test, and synctest would report a deadlock.
func TestTimeoutNetworkEndsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memorynet.Network
		n.Block("10.0.0.2", "10.0.0.2")
		c := engineclient.New(networker.TimeoutNetwork{Network: n.Host("10.0.0.1", time.Millisecond)})
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := c.Status(ctx, "10.0.0.2:9100")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(networker.DialTimeout)
	})
}
