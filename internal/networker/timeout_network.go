package networker

import (
	"context"
	"net"
	"time"
)

// DialTimeout is the longest time that a dial of a TimeoutNetwork takes.
const DialTimeout = 2 * time.Second

// TimeoutNetwork is a Network whose dials end after DialTimeout even if their
// context has a later deadline or none. An HTTP transport continues a dial after
// the request that started it has ended; without the limit, each probe of an
// instance that drops packets would leave another dial pending. Set Network
// before use.
type TimeoutNetwork struct {
	Network
}

// DialContext connects to address, or fails once DialTimeout has passed or ctx
// has ended.
func (n TimeoutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	return n.Network.DialContext(ctx, network, address)
}
