package enumerator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Kind is the kind of the processes' objects.
const Kind = "instance"

const (
	// _firstLook is the time from the start to the first count, when all
	// processes that start together have written their objects.
	_firstLook = 2 * time.Second
	// _lookEvery is the time between two counts.
	_lookEvery = 4 * time.Second
	// _loadMoved is the part by which the load must have changed to be told before
	// the next renewal.
	_loadMoved = 0.3
	// _renewEvery is the time between two renewals of an object.
	_renewEvery = time.Minute
	// _staleAfter is how long an object may stand still before its process counts
	// as gone.
	_staleAfter = 3 * _renewEvery
	// _writeTimeout bounds a write, and the last one at the stop.
	_writeTimeout = 500 * time.Millisecond
)

// Store is what the enumerator needs of the platform.
type Store interface {
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	Get(ctx context.Context, key string) (storer.Object, error)
	// Objects returns a kind's objects by name; they may be seconds old.
	Objects(ctx context.Context, kind string) (map[string]storer.Object, error)
}

// Enumerator counts processes. Set its fields before Run.
type Enumerator struct {
	Store Store
	Name  string
	Log   logger.Logger
	// InitialCount is the number that counts until the first look; 0 means 1.
	InitialCount int
	// DataCentre is where this process is, and Address where peers reach it; empty
	// where they don't.
	DataCentre string
	Address    string
	// RequestRate returns the requests a second that this process takes, as a mean over
	// some time; nil means that they are not told.
	RequestRate func() float64

	count atomic.Int64
	// share holds the bits of this process's part of the load; 0 where unknown.
	share atomic.Uint64
	once  sync.Once
	peers atomic.Pointer[[]Peer]

	// What follows belongs to Run's goroutine.
	written uint64
	renewed time.Time
	told    float64
	seen    map[string]sighting
}

// record is the value of a process's object.
type record struct {
	// Renewed is when it was written, in Unix milliseconds.
	Renewed int64 `json:"renewed"`
	// Load is the requests a second that the process takes.
	Load float64 `json:"load"`
	// DataCentre is where the process is, and Address where peers reach it.
	DataCentre string `json:"data_centre,omitempty"`
	Address    string `json:"address,omitempty"`
}

// Peer is a process that is renewed, as its object tells.
type Peer struct{ Name, DataCentre, Address string }

// sighting is an object's revision and when it was first seen.
type sighting struct {
	revision uint64
	at       time.Time
}

// Peers returns the processes, this one included, as of the latest look.
func (e *Enumerator) Peers() []Peer {
	if list := e.peers.Load(); list != nil {
		return *list
	}
	return nil
}

// Count returns the number of processes, this one included.
func (e *Enumerator) Count() int {
	e.once.Do(func() { e.count.CompareAndSwap(0, int64(max(e.InitialCount, 1))) })
	return int(e.count.Load())
}

// Run renews this process's object and counts until ctx ends; then it removes
// the object.
func (e *Enumerator) Run(ctx context.Context) {
	e.seen = make(map[string]sighting)
	e.renew(ctx, time.Now())
	for wait := _firstLook; pauser.Pause(ctx, wait); wait = _lookEvery {
		now := time.Now()
		if e.written == 0 || now.Sub(e.renewed) >= _renewEvery || e.moved() {
			e.renew(ctx, now)
		}
		e.look(ctx, now)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), _writeTimeout)
	defer cancel()
	if e.written == 0 {
		return
	}
	if err := e.Store.Delete(last, Kind+"/"+e.Name, e.written); err != nil {
		e.Log.Failure("instance-object", err, logger.Fields{"step": "remove"})
	}
}

// renew writes this process's object.
func (e *Enumerator) renew(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, _writeTimeout)
	defer cancel()
	if err := e.write(ctx, now); err != nil {
		e.written = 0
		e.Log.Failure("instance-object", err, logger.Fields{"step": "renew"})
		return
	}
	e.renewed = now
}

func (e *Enumerator) write(ctx context.Context, now time.Time) error {
	key := Kind + "/" + e.Name
	e.told = e.load()
	value, err := json.Marshal(record{Renewed: now.UnixMilli(), Load: e.told, DataCentre: e.DataCentre, Address: e.Address})
	if err != nil {
		return fmt.Errorf("enumerator: encode %s: %w", key, err)
	}
	if e.written == 0 {
		version, err := e.Store.Create(ctx, key, value)
		if err == nil {
			e.written = version
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return fmt.Errorf("enumerator: create %s: %w", key, err)
		}
		// An earlier life has left it, or a create took effect without an answer.
		o, err := e.Store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("enumerator: read %s: %w", key, err)
		}
		e.written = o.Version
	}
	version, err := e.Store.Update(ctx, key, e.written, value)
	if err != nil {
		return fmt.Errorf("enumerator: renew %s: %w", key, err)
	}
	e.written = version
	return nil
}

// load returns the requests a second that this process takes.
func (e *Enumerator) load() float64 {
	if e.RequestRate == nil {
		return 0
	}
	return e.RequestRate()
}

// moved says that the load is no longer what was told.
func (e *Enumerator) moved() bool {
	load := e.load()
	return math.Abs(load-e.told) > _loadMoved*max(load, e.told)
}

// divide takes this process's part of a total load.
func (e *Enumerator) divide(total float64) {
	if total > 0 {
		e.share.Store(math.Float64bits(e.load() / total))
	}
}

// Share returns this process's part of the load of all, and false where it isn't
// known yet.
func (e *Enumerator) Share() (float64, bool) {
	share := math.Float64frombits(e.share.Load())
	return share, share > 0
}

// look counts the objects that are renewed.
func (e *Enumerator) look(ctx context.Context, now time.Time) {
	objects, err := e.Store.Objects(ctx, Kind)
	if err != nil {
		e.Log.Failure("instance-count", err, logger.Fields{"count": e.Count(), "outcome": "the old count stays"})
		return
	}
	next := make(map[string]sighting, len(objects))
	n, total := 0, 0.0
	var peers []Peer
	for name, o := range objects {
		s := e.seen[name]
		if s.revision != o.Version {
			s = sighting{revision: o.Version, at: now}
		}
		next[name] = s
		if now.Sub(s.at) >= _staleAfter {
			continue
		}
		n++
		var r record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			e.Log.Failure("instance-object", err, logger.Fields{"step": "read", "instance": name})
			continue
		}
		if name == e.Name {
			r.Load = e.load()
		}
		total += r.Load
		peers = append(peers, Peer{Name: name, DataCentre: r.DataCentre, Address: r.Address})
	}
	e.seen = next
	e.peers.Store(&peers)
	e.divide(total)
	if before := e.Count(); before != max(n, 1) {
		e.count.Store(int64(max(n, 1)))
		e.Log.Event("instance-count", logger.Fields{"count": max(n, 1), "before": before})
	}
}
