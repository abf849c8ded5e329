package placer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _listInterval is the time between two reads of the platform's list. What an
// instance says of itself is known sooner, by probes.
const _listInterval = 5 * time.Second

// Store is what the placer needs of the platform.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// stored is a placement as the platform holds it.
type stored struct {
	placement *wire.Placement
	version   uint64
}

// ledger is what the platform holds for one data centre, as far as this holder
// read or wrote it. It belongs to the placer's goroutine.
type ledger struct {
	store      Store
	log        logger.Logger
	dataCentre string
	process    string

	// fresh says that nothing was written since, as far as is known.
	fresh      bool
	placements map[string]stored // by domain
	// unreadable holds the domains whose object can't be decoded.
	unreadable map[string]bool
	instances  map[string]storer.Instance
	listed     time.Time
}

// forget makes the next refresh read everything.
func (l *ledger) forget() { l.fresh, l.listed = false, time.Time{} }

// refresh reads what may have changed.
func (l *ledger) refresh(ctx context.Context, now time.Time) error {
	if !l.fresh {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	if now.Sub(l.listed) < _listInterval {
		return nil
	}
	rows, err := l.store.Instances(ctx)
	if err != nil {
		return fmt.Errorf("placer: list the instances: %w", err)
	}
	l.instances = make(map[string]storer.Instance)
	for _, i := range rows {
		if i.DataCentre == l.dataCentre && i.Kind == "engine" {
			l.instances[i.Name] = i
		}
	}
	l.listed = now
	return nil
}

func (l *ledger) read(ctx context.Context) error {
	prefix := watcher.KeyPrefix + l.dataCentre + "/"
	objects, err := l.store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("placer: read the placements: %w", err)
	}
	l.placements, l.unreadable = make(map[string]stored), make(map[string]bool)
	for _, o := range objects {
		domain := strings.TrimPrefix(o.Key, prefix)
		p := &wire.Placement{}
		if err := protojson.Unmarshal(o.Value, p); err != nil || p.GetDomain() != domain {
			l.unreadable[domain] = true
			l.log.Failure("placement-bad", fmt.Errorf("placer: read %s: %w", o.Key, err), nil)
			continue
		}
		l.placements[domain] = stored{p, o.Version}
	}
	l.fresh = true
	return nil
}

// adopt writes every placement that an earlier term wrote, and an empty one for
// each domain without, so that a write of an earlier holder can't take effect
// any more.
func (l *ledger) adopt(ctx context.Context, term uint64) error {
	for _, i := range l.instances {
		if _, ok := l.placements[i.Domain]; !ok && !l.unreadable[i.Domain] {
			l.placements[i.Domain] = stored{placement: &wire.Placement{DataCentre: l.dataCentre, Domain: i.Domain}}
		}
	}
	for _, d := range slices.Sorted(maps.Keys(l.placements)) {
		s := l.placements[d]
		switch {
		case s.placement.GetTerm() > term:
			l.forget()
			return fmt.Errorf("placer: adopt the placement of %s: term %d is after this holder's %d", d, s.placement.GetTerm(), term)
		case s.placement.GetTerm() == term && s.version != 0:
			continue
		}
		if err := l.write(ctx, proto.Clone(s.placement).(*wire.Placement), term); err != nil {
			return fmt.Errorf("placer: adopt the placement of %s: %w", d, err)
		}
	}
	return nil
}

// write stores a changed placement under the condition that nobody changed it
// since it was read. After any error the next refresh reads what is stored: a
// write whose answer was lost is found there.
func (l *ledger) write(ctx context.Context, p *wire.Placement, term uint64) error {
	version := l.placements[p.GetDomain()].version
	p.Revision++
	p.Term = term
	p.Writer = fmt.Sprintf("%s/%d/%d", l.process, term, p.GetRevision())
	value, err := protojson.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if version == 0 {
		version, err = l.store.Create(ctx, watcher.PlacementKey(p), value)
	} else {
		version, err = l.store.Update(ctx, watcher.PlacementKey(p), version, value)
	}
	if err != nil {
		l.fresh = false
		return err
	}
	l.placements[p.GetDomain()] = stored{p, version}
	return nil
}
