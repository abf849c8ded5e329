package configurer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Key is the configuration's key in the platform.
const Key = "configuration"

const (
	// _watchWait is how long one watch waits at the platform.
	_watchWait = 25 * time.Second
	// _retryWait is the pause after a failed watch.
	_retryWait = 500 * time.Millisecond
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
	log   logger.Logger

	mu      sync.Mutex
	current Snapshot
	changed chan struct{}
}

// New returns a Configurer at number 0.
func New(store Store, log logger.Logger) *Configurer {
	return &Configurer{store: store, log: log, changed: make(chan struct{})}
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

// Offer puts a record in force where its number is higher than the current one.
// It reports whether it did; source names where the record came from.
func (c *Configurer) Offer(record *wire.ConfigurationRecord, source string) bool {
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

// Run watches the platform's object until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		o, err := c.store.Watch(ctx, Key, version, _watchWait)
		if errors.Is(err, storer.ErrUnchanged) {
			continue
		}
		if err == nil {
			var record *wire.ConfigurationRecord
			record, err = decode(o.Value)
			if err == nil {
				version = o.Version
				c.Offer(record, "platform")
				continue
			}
		}
		if ctx.Err() == nil {
			c.log.Failure("configuration-watch", err, nil)
			pause(ctx, _retryWait)
		}
	}
}

func decode(value []byte) (*wire.ConfigurationRecord, error) {
	var r wire.ConfigurationRecord
	if err := protojson.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("configurer: read the stored configuration: %w", err)
	}
	return &r, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
