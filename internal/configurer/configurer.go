package configurer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Key is the key of the configuration object in the platform's store.
const Key = "configuration"

const (
	// _watchTimeout is how long the platform holds one watch open. Each response
	// also proves that the configuration of this process is up to date, so
	// responses must come often.
	_watchTimeout = 2 * time.Second
)

// Store reads, watches and writes objects of the platform. Watch waits up to wait
// for a version newer than after, and returns storer.ErrUnchanged if there is
// none. Create and Update return storer.ErrConflict if another writer came first.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Snapshot is one configuration with its number. It is immutable.
type Snapshot struct {
	number   uint64
	document validator.Document
	record   *wire.ConfigurationRecord
}

// Number returns the configuration's number; 0 means the empty configuration
// before the first patch.
func (s Snapshot) Number() uint64 { return s.number }

// Document returns the document. Callers must not change it.
func (s Snapshot) Document() validator.Document { return s.document }

// Record returns the configuration in its stored form, nil for number 0. Callers
// must not change it.
func (s Snapshot) Record() *wire.ConfigurationRecord { return s.record }

// Configurer keeps the configuration with the highest number that the process
// has seen. Create it with New. It is safe for concurrent use.
type Configurer struct {
	store    Store
	schedule *reader.Schedule
	log      logger.Logger

	mu      sync.Mutex
	current Snapshot
	changed chan struct{} // closed and replaced at each change of current
}

// New returns a Configurer at number 0. Its Run method reads the platform when
// the schedule says so.
func New(store Store, schedule *reader.Schedule, log logger.Logger) *Configurer {
	return &Configurer{store: store, schedule: schedule, log: log, changed: make(chan struct{})}
}

// Current returns the configuration in force in this process.
func (c *Configurer) Current() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed returns a channel that is closed at the next change of the
// configuration.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ApplyRecord puts a record in force if its document is valid and its number is
// higher than the current one, and reports whether it did. The source goes into
// log lines and names where the record came from.
func (c *Configurer) ApplyRecord(record *wire.ConfigurationRecord, source string) bool {
	c.mu.Lock()
	number := c.current.number
	c.mu.Unlock()
	if record.GetNumber() <= number {
		if record.GetNumber() < number {
			c.log.Event("configuration-old", logger.Fields{"number": record.GetNumber(), "current": number, "source": source})
		}
		return false
	}
	document, err := validator.ParseRecorded([]byte(record.GetDocument()))
	if err != nil {
		c.log.Failure("configuration-bad", err, logger.Fields{"number": record.GetNumber(), "source": source})
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.GetNumber() <= c.current.number {
		return false
	}
	c.current = Snapshot{number: record.GetNumber(), document: document, record: record}
	close(c.changed)
	c.changed = make(chan struct{})
	c.log.Event("configuration", logger.Fields{"number": record.GetNumber(), "source": source})
	for _, k := range document.SharedKeys() {
		c.log.Warn("key-shared", logger.Fields{"number": record.GetNumber(), "organisation": k.Owner, "other": k.Other, "outcome": "requests with the key belong to organisation"})
	}
	return true
}

// Run watches the configuration object of the platform, whenever the schedule
// calls for it, until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	var version uint64
	for c.schedule.WaitUntilDue(ctx) == nil {
		after, err := c.watch(ctx, version)
		if err != nil && ctx.Err() == nil {
			c.schedule.BackOff(ctx, err)
			continue
		}
		version = after
	}
}

// watch reads the object once and returns the newest version seen. It waits for
// a change only if this process is one of its data centre's designated readers.
func (c *Configurer) watch(ctx context.Context, version uint64) (uint64, error) {
	var wait time.Duration
	if c.schedule.IsDesignated() {
		wait = _watchTimeout
	}
	sent := time.Now()
	o, err := c.store.Watch(ctx, Key, version, wait)
	if errors.Is(err, storer.ErrUnchanged) {
		// The platform compares the version once more when the wait ends, so
		// the response is as fresh as that of a read sent at that time.
		c.schedule.RecordSuccess(sent.Add(wait))
		return version, nil
	}
	if err != nil {
		return version, err
	}
	record, err := decodeRecord(o.Value)
	if err != nil {
		return version, err
	}
	c.ApplyRecord(record, "platform")
	if o.Version <= version {
		return version, fmt.Errorf("configurer: watch: the platform answered with version %d, which is not newer than %d", o.Version, version)
	}
	// If a peer has already sent a higher number, this response is stale and does
	// not prove that the configuration is up to date.
	if record.GetNumber() >= c.Current().Number() {
		c.schedule.RecordSuccess(sent)
	}
	return o.Version, nil
}

// decodeRecord decodes the stored value of the configuration object.
func decodeRecord(value []byte) (*wire.ConfigurationRecord, error) {
	var r wire.ConfigurationRecord
	if err := protojson.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("configurer: decode the stored configuration: %w", err)
	}
	return &r, nil
}
