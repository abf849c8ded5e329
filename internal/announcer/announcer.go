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

// Prefix is the prefix of the objects.
const Prefix = "process/"

const (
	// _writeInterval is the time between two writes, and _retryInterval the
	// time after a failed one; each is lengthened by up to a half.
	_writeInterval = time.Minute
	_retryInterval = 4 * time.Second
	// _readEvery is the number of writes between two reads of the list.
	_readEvery = 10
)

// Store is what the announcer needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Processes knows the processes.
type Processes interface {
	Self(ctx context.Context) *wire.ProcessRecord
	Learn(ctx context.Context, records []*wire.ProcessRecord)
}

// Announcer announces one process. Make it with New.
type Announcer struct {
	store     Store
	processes Processes
	random    *rand.Rand
	log       logger.Logger

	version uint64
	writes  int
	read    bool
	// seen are the versions of the last read.
	seen map[string]uint64
}

// New returns an Announcer; the seed chooses the times of its calls.
func New(store Store, p Processes, seed uint64, log logger.Logger) *Announcer {
	return &Announcer{store: store, processes: p, random: rand.New(rand.NewPCG(seed, 4)), log: log}
}

// Run announces the process until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := _writeInterval
		if err := a.Step(ctx); err != nil {
			wait = _retryInterval
		}
		wait += time.Duration(a.random.Int64N(int64(wait / 2)))
		pauser.Pause(ctx, wait)
	}
}

// Step writes the object once, and then reads the list where it is due: of two
// processes that start together, one reads what the other wrote.
func (a *Announcer) Step(ctx context.Context) error {
	err := a.write(ctx)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		// An earlier run of the process, or a write whose answer was lost, left
		// another version, which is known now.
		err = a.write(ctx)
	}
	if err != nil {
		return err
	}
	a.writes++
	if a.read && a.writes%_readEvery != 0 {
		return nil
	}
	if err := a.list(ctx); err != nil {
		return err
	}
	a.read = true
	return nil
}

func (a *Announcer) write(ctx context.Context) error {
	self := a.processes.Self(ctx)
	if self == nil {
		return ctx.Err()
	}
	key := Prefix + self.GetDataCentre() + "/" + self.GetName()
	value, err := protojson.Marshal(self)
	if err != nil {
		return fmt.Errorf("announcer: encode: %w", err)
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

func (a *Announcer) put(ctx context.Context, key string, value []byte) (uint64, error) {
	if a.version == 0 {
		return a.store.Create(ctx, key, value)
	}
	return a.store.Update(ctx, key, a.version, value)
}

// list reads all objects, hands on their records and deletes those that were
// not renewed since the last read.
func (a *Announcer) list(ctx context.Context) error {
	objects, err := a.store.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("announcer: list %s: %w", Prefix, err)
	}
	var records []*wire.ProcessRecord
	seen := make(map[string]uint64, len(objects))
	for _, o := range objects {
		if a.seen[o.Key] == o.Version {
			if err := a.store.Delete(ctx, o.Key, o.Version); err == nil {
				a.log.Event("process-expired", logger.Fields{"key": o.Key})
			}
			continue
		}
		seen[o.Key] = o.Version
		var r wire.ProcessRecord
		if err := protojson.Unmarshal(o.Value, &r); err != nil {
			a.log.Failure("process-bad", err, logger.Fields{"key": o.Key})
			continue
		}
		records = append(records, &r)
	}
	a.seen = seen
	a.processes.Learn(ctx, records)
	return nil
}
