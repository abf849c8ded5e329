package composer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

const (
	// _batchDelayLeading is how long an instance that leads, and so makes the decisions
	// about groups, batches changes of the list of upstreams.
	_batchDelayLeading = 60 * time.Millisecond
	// _batchDelayReader is how long the instance that reads the list for its peers batches
	// changes.
	_batchDelayReader = 200 * time.Millisecond
	// _batchDelayIdle is the pause of an instance that reads for itself and has received
	// no request yet. While a system starts, its upstreams register one after the other,
	// and every instance would read all of their changes as they come.
	_batchDelayIdle = 1500 * time.Millisecond
	// _batchDelayIdleFollower is the pause of an instance that has received no request yet
	// and follows a peer, which may not answer.
	_batchDelayIdleFollower = 200 * time.Millisecond
	// _batchDelayPerInstance times the number of instances is how long an instance that
	// exchanges nothing with peers batches changes. All instances together then read the
	// list at most 25 times a second.
	_batchDelayPerInstance = 40 * time.Millisecond
)

// readerState is what decides how long an instance batches changes of the platform's
// objects between two reads.
type readerState struct {
	// leading is true if the instance makes the decisions about groups, reads if it reads
	// the platform for its peers, and follows if a peer does so for it.
	leading, reads, follows bool
	// busy is true once a caller has sent a request.
	busy      bool
	instances int // the number of running instances
	// longest is the longest pause after which changes still arrive in time.
	longest time.Duration
}

// readerState returns the state of this instance.
func (k *kernel) readerState(c *cataloguer.Catalogue, sh *sharer.Sharer, e *enumerator.Enumerator) readerState {
	rl, err := registrar.Find[*relayer.Relayer](&k.services, NameRelayer)
	// Without a list of peers, each instance takes itself for the reader.
	knowsPeers := len(e.Members().Peers()) > 0
	return readerState{
		leading: c.Leading(), reads: knowsPeers && sh.IsReader(), follows: sh.FollowsPeer(), busy: err == nil && rl.TrafficStarted(),
		instances: e.Count(), longest: k.settings.UpstreamDrainGrace() / 2,
	}
}

// listDelay returns the pause between two reads of changes of the list of upstreams.
func (s readerState) listDelay() time.Duration {
	switch {
	case s.leading:
		return _batchDelayLeading
	case s.reads:
		return _batchDelayReader
	case s.follows && !s.busy:
		return _batchDelayIdleFollower
	case !s.busy:
		return min(_batchDelayIdle, s.longest)
	case s.follows:
		// The reader has batched the changes already.
		return 0
	}
	return min(time.Duration(s.instances)*_batchDelayPerInstance, s.longest)
}

// configurationDelay returns the pause between two reads of changes of the
// configuration.
func (s readerState) configurationDelay() time.Duration {
	switch {
	case s.busy || s.reads:
		return 0
	case s.follows:
		return _batchDelayIdleFollower
	}
	return min(_batchDelayIdle, s.longest) / 2
}
