package networker

import (
	"context"
	"net"
	"time"
)

// DialTimeout is how long a TimeoutNetwork waits for a connection.
const DialTimeout = 2 * time.Second

// TimeoutNetwork is a Network whose dials end after DialTimeout, whatever their
// context says. An HTTP transport lets a dial go on after the request that
// wanted it has ended, so that without a bound an instance that drops packets
// collects one dial for each probe. Set Network before use.
type TimeoutNetwork struct {
	Network
}

// DialContext connects to address within DialTimeout.
func (n TimeoutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	return n.Network.DialContext(ctx, network, address)
}
