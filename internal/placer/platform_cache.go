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
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _listInterval is the time between two reads of the platform's instance list.
// Changes that the instances report themselves are known sooner, by probes.
const _listInterval = 5 * time.Second

// Store is the part of the platform's client that the placer uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// storedPlacement is a placement and its version on the platform. The version is
// 0 if it was never written.
type storedPlacement struct {
	placement *wire.Placement
	version   uint64
}

// platformCache holds the placements and instances of one data centre as this
// holder last read or wrote them on the platform. Only the placer's goroutine
// uses it.
type platformCache struct {
	store      Store
	log        logger.Logger
	dataCentre string
	process    string

	// fresh reports whether the placements match what is stored, as far as this
	// holder can know: it read them, and none of its writes has failed since.
	fresh      bool
	placements map[string]storedPlacement // by domain
	// unreadable holds the domains whose stored placement can't be decoded.
	unreadable map[string]bool
	instances  map[string]storer.Instance
	listedAt   time.Time
}

// invalidate makes the next refresh read the placements and the instance list
// again.
func (c *platformCache) invalidate() { c.fresh, c.listedAt = false, time.Time{} }

// refresh reads the placements if they are not fresh, and the instance list if
// its last read is at least _listInterval old.
func (c *platformCache) refresh(ctx context.Context, now time.Time) error {
	if !c.fresh {
		if err := c.readPlacements(ctx); err != nil {
			return err
		}
	}
	if now.Sub(c.listedAt) < _listInterval {
		return nil
	}
	rows, err := c.store.Instances(ctx)
	if err != nil {
		return fmt.Errorf("placer: list the instances: %w", err)
	}
	c.instances = make(map[string]storer.Instance)
	for _, i := range rows {
		if i.DataCentre == c.dataCentre && i.Kind == "engine" {
			c.instances[i.Name] = i
		}
	}
	c.listedAt = now
	return nil
}

// readPlacements replaces the cached placements by the stored ones.
func (c *platformCache) readPlacements(ctx context.Context) error {
	prefix := placementtracker.KeyPrefix + c.dataCentre + "/"
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("placer: read the placements: %w", err)
	}
	c.placements, c.unreadable = make(map[string]storedPlacement), make(map[string]bool)
	for _, o := range objects {
		domain := strings.TrimPrefix(o.Key, prefix)
		p, err := decodePlacement(o.Value, domain)
		if err != nil {
			c.unreadable[domain] = true
			c.log.Failure("placement-bad", fmt.Errorf("placer: read %s: %w", o.Key, err), nil)
			continue
		}
		c.placements[domain] = storedPlacement{p, o.Version}
	}
	c.fresh = true
	return nil
}

// decodePlacement decodes the placement of a domain.
func decodePlacement(value []byte, domain string) (*wire.Placement, error) {
	p := &wire.Placement{}
	if err := protojson.Unmarshal(value, p); err != nil {
		return nil, err
	}
	if p.GetDomain() != domain {
		return nil, fmt.Errorf("the object names the domain %q", p.GetDomain())
	}
	return p, nil
}

// adopt rewrites every placement of an earlier term with this holder's term, and
// writes an empty one for each domain that has none, so that no write of an
// earlier holder can succeed afterwards.
func (c *platformCache) adopt(ctx context.Context, term uint64) error {
	for _, i := range c.instances {
		if _, ok := c.placements[i.Domain]; !ok && !c.unreadable[i.Domain] {
			c.placements[i.Domain] = storedPlacement{placement: &wire.Placement{DataCentre: c.dataCentre, Domain: i.Domain}}
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.placements)) {
		s := c.placements[d]
		switch {
		case s.placement.GetTerm() > term:
			c.invalidate()
			return fmt.Errorf("placer: adopt the placement of %s: term %d is newer than this holder's %d", d, s.placement.GetTerm(), term)
		case s.placement.GetTerm() == term && s.version != 0:
			continue
		}
		if err := c.write(ctx, proto.Clone(s.placement).(*wire.Placement), term); err != nil {
			return fmt.Errorf("placer: adopt the placement of %s: %w", d, err)
		}
	}
	return nil
}

// write stores a changed placement on the condition that its stored version is
// still the one known here. After any error the next refresh reads what is
// stored, since a write whose response was lost may have succeeded.
func (c *platformCache) write(ctx context.Context, p *wire.Placement, term uint64) error {
	version := c.placements[p.GetDomain()].version
	p.Revision++
	p.Term = term
	p.Writer = fmt.Sprintf("%s/%d/%d", c.process, term, p.GetRevision())
	value, err := protojson.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if version == 0 {
		version, err = c.store.Create(ctx, placementtracker.PlacementKey(p), value)
	} else {
		version, err = c.store.Update(ctx, placementtracker.PlacementKey(p), version, value)
	}
	if err != nil {
		c.fresh = false
		return err
	}
	c.placements[p.GetDomain()] = storedPlacement{p, version}
	return nil
}
