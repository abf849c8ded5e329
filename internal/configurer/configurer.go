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

// Key is the configuration's key in the platform.
const Key = "configuration"

const (
	// _watchWait is how long one watch waits at the platform. An answer is also
	// the proof that the process's knowledge is fresh, so it must come often.
	_watchWait = 2 * time.Second
)

// Store is what the configurer needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Snapshot is one configuration; it is never changed.
type Snapshot struct {
	number   uint64
	document validator.Document
	record   *wire.ConfigurationRecord
}

// Number returns the configuration's number; 0 is the empty configuration
// before the first patch.
func (s Snapshot) Number() uint64 { return s.number }

// Document returns the document. Callers must not change it.
func (s Snapshot) Document() validator.Document { return s.document }

// Record returns the stored form, nil for number 0. Callers must not change it.
func (s Snapshot) Record() *wire.ConfigurationRecord { return s.record }

// Configurer keeps the highest configuration that the process has seen. Make it
// with New. It is safe for concurrent use.
type Configurer struct {
	store Store
	turn  *reader.Turn
	log   logger.Logger

	mu      sync.Mutex
	current Snapshot
	changed chan struct{}
}

// New returns a Configurer at number 0 that reads the platform in its turn.
func New(store Store, turn *reader.Turn, log logger.Logger) *Configurer {
	return &Configurer{store: store, turn: turn, log: log, changed: make(chan struct{})}
}

// Current returns the configuration in force in this process.
func (c *Configurer) Current() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed returns a channel that is closed when the configuration next changes.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ApplyRecord puts a record in force where its number is higher than the current one.
// It reports whether it did; source names where the record came from.
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
	document, err := validator.Parse([]byte(record.GetDocument()))
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
	return true
}

// Run reads the platform's object, whenever it is this process's turn, until
// ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	var version uint64
	for c.turn.Wait(ctx) == nil {
		after, err := c.read(ctx, version)
		if err != nil && ctx.Err() == nil {
			c.turn.Failed(ctx, err)
			continue
		}
		version = after
	}
}

// read reads the object once, waiting for a change where this process is on
// duty, and returns the newest version that was seen.
func (c *Configurer) read(ctx context.Context, version uint64) (uint64, error) {
	var wait time.Duration
	if c.turn.OnDuty() {
		wait = _watchWait
	}
	sent := time.Now()
	o, err := c.store.Watch(ctx, Key, version, wait)
	if errors.Is(err, storer.ErrUnchanged) {
		// The platform looked once more when the wait ended.
		c.turn.Done(sent.Add(wait))
		return version, nil
	}
	if err != nil {
		return version, err
	}
	record, err := decode(o.Value)
	if err != nil {
		return version, err
	}
	c.ApplyRecord(record, "platform")
	if o.Version <= version {
		return version, fmt.Errorf("configurer: watch: the platform answered with version %d after %d", o.Version, version)
	}
	// A number that peers have overtaken says nothing about the newest one.
	if record.GetNumber() >= c.Current().Number() {
		c.turn.Done(sent)
	}
	return o.Version, nil
}

func decode(value []byte) (*wire.ConfigurationRecord, error) {
	var r wire.ConfigurationRecord
	if err := protojson.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("configurer: read the stored configuration: %w", err)
	}
	return &r, nil
}
