package enumerator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Kind is the kind, in the store, of the objects that register processes.
const Kind = "instance"

const (
	// _secondCountDelay is the time from the start to the second count. By then all
	// processes that start together have written their objects.
	_secondCountDelay = 2 * time.Second
	// _countInterval is the time between two counts.
	_countInterval = 4 * time.Second
	// _receivedLifetime is how long a list that a peer has read makes a read by this
	// process needless: a peer that reads the store confirms its list far more often.
	_receivedLifetime = 2 * _countInterval
	// _loadChangeRatio is the relative change of the load from which an object is
	// renewed early.
	_loadChangeRatio = 0.3
	// _renewInterval is the time between two renewals of an object.
	_renewInterval = time.Minute
	// _objectExpiry is how long an object may go without renewal before its process no
	// longer counts.
	_objectExpiry = 3 * _renewInterval
	// _writeTimeout bounds each write, and the removal of the object at shutdown.
	_writeTimeout = 500 * time.Millisecond
)

// Store is the part of the platform's store that the enumerator uses.
type Store interface {
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	Get(ctx context.Context, key string) (storer.Object, error)
	// Objects returns a kind's objects by name; they may be seconds old.
	Objects(ctx context.Context, kind string) (map[string]storer.Object, error)
}

// Enumerator registers this process and counts all processes. Set its fields before
// Run. Count, Peers and Share are safe for concurrent use.
type Enumerator struct {
	Store Store
	Name  string
	Log   logger.Logger
	// InitialCount is the value of Count until the first count; 0 means 1.
	InitialCount int
	// DataCentre is that of this process, and Address is where its peers reach it;
	// each is empty where peers don't connect to it.
	DataCentre string
	Address    string
	// ProcessorShare is the share of a processor core that this process may use.
	ProcessorShare float64
	// RequestRate returns the requests a second that this process receives, as a mean
	// over a recent period; nil means that it reports a rate of 0.
	RequestRate func() float64

	count atomic.Int64
	// share holds the float64 bits of this process's share of the total load; 0 where
	// the share is unknown.
	share      atomic.Uint64
	initialise sync.Once
	members    atomic.Pointer[Members]
	// readAt is when this process last read the list from the store, and receivedAt is
	// when a peer last sent or confirmed it.
	readAt, receivedAt atomic.Pointer[time.Time]

	// Only Run's goroutine uses the fields below.
	version     uint64 // of this process's object; 0 where unknown
	renewed     time.Time
	writtenLoad float64 // the load in this process's object, in requests a second
	observed    map[string]observation
}

// record is the value of a process's object.
type record struct {
	// Renewed is when the object was written, in Unix milliseconds.
	Renewed int64 `json:"renewed"`
	// Load is the request rate of the process, in requests a second.
	Load float64 `json:"load"`
	// DataCentre is that of the process, and Address is where its peers reach it.
	DataCentre string `json:"data_centre,omitempty"`
	Address    string `json:"address,omitempty"`
	// ProcessorShare is the share of a processor core that the process may use.
	ProcessorShare float64 `json:"processor_share,omitempty"`
}

// observation is a revision of an object and when this process first read it.
type observation struct {
	revision uint64
	at       time.Time
}

// Count returns the number of running processes, this one included.
func (e *Enumerator) Count() int {
	e.initialise.Do(func() { e.count.CompareAndSwap(0, int64(max(e.InitialCount, 1))) })
	return int(e.count.Load())
}

// Counted reports whether the processes have been counted, by this process or a peer, with
// this one among them.
func (e *Enumerator) Counted() bool {
	return slices.ContainsFunc(e.Members().Peers(), func(p Peer) bool { return p.Name == e.Name })
}

// Run counts the processes and renews this process's object until ctx ends, and then
// removes the object.
func (e *Enumerator) Run(ctx context.Context) {
	e.observed = make(map[string]observation)
	now := time.Now()
	// The first count also finds the object of an earlier run of this process.
	e.countProcesses(ctx, now)
	if e.version == 0 || now.Sub(e.renewed) >= _renewInterval {
		e.renew(ctx, now)
	}
	for wait := _secondCountDelay; pauser.Pause(ctx, wait); wait = _countInterval {
		now := time.Now()
		if e.version == 0 || now.Sub(e.renewed) >= _renewInterval || e.loadChanged() {
			e.renew(ctx, now)
		}
		if !e.hasReceivedList(now) {
			e.countProcesses(ctx, now)
		}
	}
	removal, cancel := context.WithTimeout(context.WithoutCancel(ctx), _writeTimeout)
	defer cancel()
	if e.version == 0 {
		return
	}
	if err := e.Store.Delete(removal, Kind+"/"+e.Name, e.version); err != nil {
		e.Log.Failure("instance-object", err, logger.Fields{"step": "remove"})
	}
}

// renew writes this process's object, and logs a failure.
func (e *Enumerator) renew(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, _writeTimeout)
	defer cancel()
	if err := e.write(ctx, now); err != nil {
		e.version = 0
		e.Log.Failure("instance-object", err, logger.Fields{"step": "renew"})
		return
	}
	e.renewed = now
}

func (e *Enumerator) write(ctx context.Context, now time.Time) error {
	key := Kind + "/" + e.Name
	e.writtenLoad = e.requestRate()
	value, err := json.Marshal(record{Renewed: now.UnixMilli(), Load: e.writtenLoad, DataCentre: e.DataCentre, Address: e.Address, ProcessorShare: e.ProcessorShare})
	if err != nil {
		return fmt.Errorf("enumerator: encode %s: %w", key, err)
	}
	if e.version == 0 {
		version, err := e.Store.Create(ctx, key, value)
		if err == nil {
			e.version = version
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return fmt.Errorf("enumerator: create %s: %w", key, err)
		}
		// An earlier run of this process left the object, or a create took effect but
		// its answer was lost.
		o, err := e.Store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("enumerator: read %s: %w", key, err)
		}
		e.version = o.Version
	}
	version, err := e.Store.Update(ctx, key, e.version, value)
	if err != nil {
		return fmt.Errorf("enumerator: renew %s: %w", key, err)
	}
	e.version = version
	return nil
}

// requestRate returns the requests a second that this process receives.
func (e *Enumerator) requestRate() float64 {
	if e.RequestRate == nil {
		return 0
	}
	return e.RequestRate()
}

// loadChanged reports whether the load differs enough from the load in this process's
// object to renew it early.
func (e *Enumerator) loadChanged() bool {
	load := e.requestRate()
	return math.Abs(load-e.writtenLoad) > _loadChangeRatio*max(load, e.writtenLoad)
}

// updateShare computes this process's share of a total load in requests a second.
func (e *Enumerator) updateShare(total float64) {
	if total > 0 {
		e.share.Store(math.Float64bits(e.requestRate() / total))
	}
}

// Share returns this process's share of the load of all processes, from 0 to 1, and
// false where it is 0 or not known yet.
func (e *Enumerator) Share() (float64, bool) {
	share := math.Float64frombits(e.share.Load())
	return share, share > 0
}

// countProcesses counts the objects that are still renewed, and updates the peers and
// this process's share.
func (e *Enumerator) countProcesses(ctx context.Context, now time.Time) {
	objects, err := e.Store.Objects(ctx, Kind)
	if err != nil {
		e.Log.Failure("instance-count", err, logger.Fields{"count": e.Count(), "outcome": "keeping the previous count"})
		return
	}
	next := make(map[string]observation, len(objects))
	total := 0.0
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		o := objects[name]
		seen := e.observed[name]
		if seen.revision != o.Version {
			seen = observation{revision: o.Version, at: now}
		}
		next[name] = seen
		if now.Sub(seen.at) >= _objectExpiry {
			continue
		}
		var r record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			// The process counts, but its peers can't reach it.
			e.Log.Failure("instance-object", err, logger.Fields{"step": "read", "instance": name})
		}
		if name == e.Name {
			e.adopt(o, r, now)
			r.Load = e.requestRate()
		}
		total += r.Load
		peers = append(peers, Peer{Name: name, DataCentre: r.DataCentre, Address: r.Address, ProcessorShare: r.ProcessorShare})
	}
	e.observed = next
	if len(peers) == 0 {
		// No process is registered yet.
		return
	}
	e.readAt.Store(&now)
	e.setMembers(NewMembers(peers), "store")
	e.updateShare(total)
}

// adopt takes over the object that an earlier run of this process has left. If the object
// says the same and was renewed lately, it need not be written again yet.
func (e *Enumerator) adopt(o storer.Object, r record, now time.Time) {
	if e.version != 0 {
		return
	}
	e.version = o.Version
	age := now.Sub(time.UnixMilli(r.Renewed))
	if r.DataCentre == e.DataCentre && r.Address == e.Address && r.ProcessorShare == e.ProcessorShare && age.Abs() < _renewInterval {
		e.renewed, e.writtenLoad = now.Add(-age.Abs()), r.Load
	}
}
