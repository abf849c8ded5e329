package placementtracker

import (
	"context"
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// KeyPrefix is the prefix of the platform keys of placements. The data centre and
// the fabric domain follow it.
const KeyPrefix = "placement/"

// _pollInterval is the wait after a successful poll of the platform.
const _pollInterval = time.Second

// _leavingMaxLag is how long before the latest read by any process this process may
// have read the list of instances, for the list's Leaving marks to count.
const _leavingMaxLag = 15 * time.Second

// Store reads objects and the list of instances from the platform.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// View is an immutable snapshot of placements and instances.
type View struct {
	placements map[string]*wire.Placement
	versions   map[string]uint64
	instances  map[string]storer.Instance
}

// Placements returns the placements by platform key. Callers must not change the
// map.
func (v View) Placements() map[string]*wire.Placement { return v.placements }

// PlacementVersion returns the platform's object version of a placement, or 0 if
// the placement is not known to exist on the platform.
func (v View) PlacementVersion(key string) uint64 { return v.versions[key] }

// Instances returns the platform's list of instances by name. Callers must not
// change the map.
func (v View) Instances() map[string]storer.Instance { return v.instances }

// Tracker keeps the newest View. Create it with New. It is safe for concurrent
// use.
type Tracker struct {
	store    Store
	schedule *reader.Schedule
	log      logger.Logger

	mu         sync.Mutex
	view       View
	listReadAt time.Time // when the request for the list of instances was sent
	changed    chan struct{}
}

// New returns a Tracker with an empty view, which polls the store when schedule
// says that a read is due.
func New(store Store, schedule *reader.Schedule, log logger.Logger) *Tracker {
	return &Tracker{store: store, schedule: schedule, log: log, changed: make(chan struct{})}
}

// View returns the newest view, without Leaving marks that are outdated.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearOutdatedLeaving()
	return t.view
}

// clearOutdatedLeaving clears the Leaving marks of instances if another process
// has read the list more than _leavingMaxLag after this one: the processes that
// read the list tell this one which instances leave. During an outage no process
// reads the list, and the marks stay. The caller holds t.mu.
func (t *Tracker) clearOutdatedLeaving() {
	if t.schedule.LastRead().Sub(t.listReadAt) <= _leavingMaxLag {
		return
	}
	var next map[string]storer.Instance
	for name, i := range t.view.instances {
		if !i.Leaving {
			continue
		}
		if next == nil {
			next = maps.Clone(t.view.instances)
		}
		i.Leaving = false
		next[name] = i
	}
	if next != nil {
		view := t.view
		view.instances = next
		t.publish(view)
	}
}

// Changed returns a channel that is closed when the view next changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// ApplyPlacement merges a placement into the view, and reports whether the view
// changed. It drops a revision that is not newer than the known one.
func (t *Tracker) ApplyPlacement(p *wire.Placement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(PlacementKey(p), 0, p)
}

// PlacementKey returns the platform key of a placement.
func PlacementKey(p *wire.Placement) string {
	return KeyPrefix + p.GetDataCentre() + "/" + p.GetDomain()
}

// Run polls the platform, whenever the schedule says that a read is due, until ctx
// ends.
func (t *Tracker) Run(ctx context.Context) {
	for t.schedule.WaitUntilDue(ctx) == nil {
		if err := t.Poll(ctx); err != nil && ctx.Err() == nil {
			t.schedule.BackOff(ctx, err)
			continue
		}
		t.schedule.Sleep(ctx, _pollInterval)
	}
}

// Poll reads placements and instances from the platform once and updates the view.
// It logs and skips placements that can't be decoded.
func (t *Tracker) Poll(ctx context.Context) error {
	sentAt := time.Now()
	objects, err := t.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	instances, err := t.store.Instances(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range objects {
		var p wire.Placement
		if err := protojson.Unmarshal(o.Value, &p); err != nil {
			t.log.Failure("placement-bad", err, logger.Fields{"key": o.Key})
			continue
		}
		t.merge(o.Key, o.Version, &p)
	}
	t.setInstances(instances)
	t.listReadAt = sentAt
	t.schedule.RecordSuccess(sentAt)
	return nil
}

// merge publishes a view with the placement p if p is newer than the known copy,
// and reports whether it did. The version is the platform's object version, or 0
// for a copy from a peer. The caller holds t.mu.
//
// Two copies with the same revision are the same placement: each write is
// conditional on the previous object version and raises the revision by one, so
// only one writer can create a given revision. This would not hold if an object
// were deleted and created again, which no process does. An equal revision from
// the platform therefore only adds the version, which a copy from a peer lacks.
func (t *Tracker) merge(key string, version uint64, p *wire.Placement) bool {
	old, known := t.view.placements[key]
	if known && p.GetRevision() < old.GetRevision() {
		return false
	}
	if known && p.GetRevision() == old.GetRevision() && (version == 0 || version == t.view.versions[key]) {
		return false
	}
	next := View{placements: map[string]*wire.Placement{}, versions: map[string]uint64{}, instances: t.view.instances}
	for k, x := range t.view.placements {
		next.placements[k] = x
		next.versions[k] = t.view.versions[k]
	}
	next.placements[key] = p
	next.versions[key] = version
	t.publish(next)
	return true
}

// setInstances publishes a view with the platform's list of instances if the list
// has changed. The caller holds t.mu.
func (t *Tracker) setInstances(instances []storer.Instance) {
	same := len(instances) == len(t.view.instances)
	byName := make(map[string]storer.Instance, len(instances))
	for _, i := range instances {
		byName[i.Name] = i
		same = same && t.view.instances[i.Name] == i
	}
	if same {
		return
	}
	next := t.view
	next.instances = byName
	t.publish(next)
}

// publish makes next the newest view and closes the channel that Changed returned.
// The caller holds t.mu.
func (t *Tracker) publish(next View) {
	t.view = next
	close(t.changed)
	t.changed = make(chan struct{})
}
