package announcer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Prefix begins the keys of the objects that register processes.
const Prefix = "process/"

const (
	// _writeInterval is the time between two writes, and _retryInterval the time
	// after a failed step; each is lengthened by a jitter of up to a half.
	_writeInterval = time.Minute
	_retryInterval = 4 * time.Second
	// _writesPerList is the number of writes from one list of all objects to the next.
	_writesPerList = 10
)

// Store is the part of the platform's store that the announcer uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Processes provides this process's own record, and takes in the records of the
// processes that were listed. Self returns nil where there is no record to write.
type Processes interface {
	Self(ctx context.Context) *wire.ProcessRecord
	AddUnverified(ctx context.Context, records []*wire.ProcessRecord)
}

// Announcer registers one process and finds the others. Make it with New.
type Announcer struct {
	store     Store
	processes Processes
	jitter    *rand.Rand
	log       logger.Logger

	version uint64 // of this process's object; 0 where unknown
	writes  int
	listed  bool // whether a list has succeeded
	// listedVersions are the versions in the last list, by key.
	listedVersions map[string]uint64
}

// New returns an Announcer. The seed determines the jitter of its write intervals.
func New(store Store, p Processes, seed uint64, log logger.Logger) *Announcer {
	return &Announcer{store: store, processes: p, jitter: rand.New(rand.NewPCG(seed, 4)), log: log}
}

// Run writes the process's object at intervals until ctx ends. It does not remove the
// object; another process deletes it once it is no longer renewed.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := _writeInterval
		if err := a.Step(ctx); err != nil {
			wait = _retryInterval
		}
		wait += time.Duration(a.jitter.Int64N(int64(wait / 2)))
		pauser.Pause(ctx, wait)
	}
}

// Step writes the process's object once, and then lists all objects if a list is due.
// The write comes first so that of two processes that start together, at least one
// lists the other's object.
func (a *Announcer) Step(ctx context.Context) error {
	self := a.processes.Self(ctx)
	if self == nil {
		return ctx.Err()
	}
	err := a.write(ctx, self)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		// An earlier run of the process, or a write whose answer was lost, left
		// another version. The failed write has read that version.
		err = a.write(ctx, self)
	}
	if err != nil {
		return err
	}
	a.writes++
	if a.listed && a.writes%_writesPerList != 0 {
		return nil
	}
	if err := a.list(ctx); err != nil {
		return err
	}
	a.listed = true
	return nil
}

// write writes the process's object. If the object has another version than the known
// one, it reads that version and returns an error.
func (a *Announcer) write(ctx context.Context, self *wire.ProcessRecord) error {
	key := Prefix + self.GetDataCentre() + "/" + self.GetName()
	value, err := protojson.Marshal(self)
	if err != nil {
		return fmt.Errorf("announcer: encode %s: %w", key, err)
	}
	version, err := a.put(ctx, key, value)
	if err == nil {
		a.version = version
		return nil
	}
	a.version = 0
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		if o, e := a.store.Get(ctx, key); e == nil {
			a.version = o.Version
		}
	}
	return fmt.Errorf("announcer: write %s: %w", key, err)
}

// put creates the object, or updates the known version of it, and returns its version.
func (a *Announcer) put(ctx context.Context, key string, value []byte) (uint64, error) {
	if a.version == 0 {
		return a.store.Create(ctx, key, value)
	}
	return a.store.Update(ctx, key, a.version, value)
}

// list reads all objects, deletes those that were not renewed since the last list,
// and passes the records of the others to Processes.
func (a *Announcer) list(ctx context.Context) error {
	objects, err := a.store.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("announcer: list %s: %w", Prefix, err)
	}
	var records []*wire.ProcessRecord
	versions := make(map[string]uint64, len(objects))
	for _, o := range objects {
		if a.listedVersions[o.Key] == o.Version {
			if err := a.store.Delete(ctx, o.Key, o.Version); err != nil {
				// The next list tries again unless the object is renewed until then.
				versions[o.Key] = o.Version
				a.log.Failure("process-expired", err, logger.Fields{"key": o.Key})
				continue
			}
			a.log.Event("process-expired", logger.Fields{"key": o.Key})
			continue
		}
		versions[o.Key] = o.Version
		var r wire.ProcessRecord
		if err := protojson.Unmarshal(o.Value, &r); err != nil {
			a.log.Failure("process-bad", err, logger.Fields{"key": o.Key})
			continue
		}
		records = append(records, &r)
	}
	a.listedVersions = versions
	a.processes.AddUnverified(ctx, records)
	return nil
}
