package watcher

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

// _leavingMaxLag is how much older than the latest read by any process this
// process's list of instances may be while its Leaving marks still count.
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

// Watcher keeps the newest View. Create it with New. It is safe for concurrent
// use.
type Watcher struct {
	store    Store
	schedule *reader.Schedule
	log      logger.Logger

	mu         sync.Mutex
	view       View
	listReadAt time.Time // when the request for the list of instances was sent
	changed    chan struct{}
}

// New returns a Watcher with an empty view, which polls the store when schedule
// says that a read is due.
func New(store Store, schedule *reader.Schedule, log logger.Logger) *Watcher {
	return &Watcher{store: store, schedule: schedule, log: log, changed: make(chan struct{})}
}

// View returns the newest view, without Leaving marks that are outdated.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clearOutdatedLeaving()
	return w.view
}

// clearOutdatedLeaving clears the Leaving marks of instances if another process
// has read the list more than _leavingMaxLag after this one: the processes that
// read the list tell this one which instances leave. During an outage no process
// reads the list, and the marks stay. The caller holds w.mu.
func (w *Watcher) clearOutdatedLeaving() {
	if w.schedule.LastRead().Sub(w.listReadAt) <= _leavingMaxLag {
		return
	}
	var next map[string]storer.Instance
	for name, i := range w.view.instances {
		if !i.Leaving {
			continue
		}
		if next == nil {
			next = maps.Clone(w.view.instances)
		}
		i.Leaving = false
		next[name] = i
	}
	if next != nil {
		view := w.view
		view.instances = next
		w.publish(view)
	}
}

// Changed returns a channel that is closed when the view next changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Offer merges a placement that a peer sent into the view, and reports whether the
// view changed. It drops a revision that is not newer than the known one.
func (w *Watcher) Offer(p *wire.Placement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.merge(PlacementKey(p), 0, p)
}

// PlacementKey returns the platform key of a placement.
func PlacementKey(p *wire.Placement) string {
	return KeyPrefix + p.GetDataCentre() + "/" + p.GetDomain()
}

// Run polls the platform, whenever the schedule says that a read is due, until ctx
// ends.
func (w *Watcher) Run(ctx context.Context) {
	for w.schedule.WaitUntilDue(ctx) == nil {
		if err := w.Poll(ctx); err != nil && ctx.Err() == nil {
			w.schedule.BackOff(ctx, err)
			continue
		}
		w.schedule.Sleep(ctx, _pollInterval)
	}
}

// Poll reads placements and instances from the platform once and updates the view.
// It logs and skips placements that can't be decoded.
func (w *Watcher) Poll(ctx context.Context) error {
	sentAt := time.Now()
	objects, err := w.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	instances, err := w.store.Instances(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		var p wire.Placement
		if err := protojson.Unmarshal(o.Value, &p); err != nil {
			w.log.Failure("placement-bad", err, logger.Fields{"key": o.Key})
			continue
		}
		w.merge(o.Key, o.Version, &p)
	}
	w.setInstances(instances)
	w.listReadAt = sentAt
	w.schedule.RecordSuccess(sentAt)
	return nil
}

// merge publishes a view with the placement p if p is newer than the known copy,
// and reports whether it did. The version is the platform's object version, or 0
// for a copy from a peer. The caller holds w.mu.
//
// Two copies with the same revision are the same placement: each write is
// conditional on the previous object version and raises the revision by one, so
// only one writer can create a given revision. This would not hold if an object
// were deleted and created again, which no process does. An equal revision from
// the platform therefore only adds the version, which a copy from a peer lacks.
func (w *Watcher) merge(key string, version uint64, p *wire.Placement) bool {
	old, known := w.view.placements[key]
	if known && p.GetRevision() < old.GetRevision() {
		return false
	}
	if known && p.GetRevision() == old.GetRevision() && (version == 0 || version == w.view.versions[key]) {
		return false
	}
	next := View{placements: map[string]*wire.Placement{}, versions: map[string]uint64{}, instances: w.view.instances}
	for k, x := range w.view.placements {
		next.placements[k] = x
		next.versions[k] = w.view.versions[k]
	}
	next.placements[key] = p
	next.versions[key] = version
	w.publish(next)
	return true
}

// setInstances publishes a view with the platform's list of instances if the list
// has changed. The caller holds w.mu.
func (w *Watcher) setInstances(instances []storer.Instance) {
	same := len(instances) == len(w.view.instances)
	byName := make(map[string]storer.Instance, len(instances))
	for _, i := range instances {
		byName[i.Name] = i
		same = same && w.view.instances[i.Name] == i
	}
	if same {
		return
	}
	next := w.view
	next.instances = byName
	w.publish(next)
}

// publish makes next the newest view and closes the channel that Changed returned.
// The caller holds w.mu.
func (w *Watcher) publish(next View) {
	w.view = next
	close(w.changed)
	w.changed = make(chan struct{})
}
