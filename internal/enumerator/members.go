package enumerator

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// Peer is a running process, as its object in the store describes it.
type Peer struct {
	Name       string
	DataCentre string
	// Address is the IP address and port for messages between peers, as host:port;
	// empty where the process accepts none.
	Address string
	// ProcessorShare is the share of a processor core that the process may use.
	ProcessorShare float64
}

// Members is a list of the running processes, by name. It is immutable.
type Members struct {
	peers   []Peer
	version uint64
}

// NewMembers returns the list of the peers given, which must be sorted by name.
func NewMembers(peers []Peer) Members {
	digest := xxhash.New()
	for _, p := range peers {
		// Writes to a digest never fail.
		_, _ = fmt.Fprintf(digest, "%q %q %q %g\n", p.Name, p.DataCentre, p.Address, p.ProcessorShare)
	}
	return Members{peers: peers, version: digest.Sum64()}
}

// Peers returns the processes of the list, by name. They must not be changed.
func (m Members) Peers() []Peer { return m.peers }

// Version identifies the content of the list.
func (m Members) Version() uint64 { return m.version }

// Members returns the most recent list of processes, this one included. It is empty
// until the first count.
func (e *Enumerator) Members() Members {
	if m := e.members.Load(); m != nil {
		return *m
	}
	return Members{}
}

// HasReadList reports whether this process has itself read the list from the store
// recently, so that it may pass the list on.
func (e *Enumerator) HasReadList(now time.Time) bool {
	at := e.readAt.Load()
	return at != nil && now.Sub(*at) < _receivedLifetime
}

// Receive records the list of a peer that has read it from the store, so that this
// process need not.
func (e *Enumerator) Receive(m Members, now time.Time) {
	e.receivedAt.Store(&now)
	e.setMembers(m, "peer")
}

// Confirm records that a peer has read the list from the store and found it to be that
// of this process.
func (e *Enumerator) Confirm(now time.Time) { e.receivedAt.Store(&now) }

// hasReceivedList reports whether a peer has sent or confirmed the list recently.
func (e *Enumerator) hasReceivedList(now time.Time) bool {
	at := e.receivedAt.Load()
	return at != nil && now.Sub(*at) < _receivedLifetime
}

// setMembers puts a list in force. source names where it came from, for the log.
func (e *Enumerator) setMembers(m Members, source string) {
	e.members.Store(&m)
	count := max(len(m.peers), 1)
	if before := e.Count(); before != count {
		e.count.Store(int64(count))
		e.Log.Event("instance-count", logger.Fields{"count": count, "before": before, "source": source})
	}
}
