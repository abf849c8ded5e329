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

// KeyPrefix is the prefix of placement objects; the key goes on with the data
// centre and the fabric domain.
const KeyPrefix = "placement/"

// _pollInterval is the least time between two reads of the platform.
const _pollInterval = time.Second

// _listLimit is how much later than this process others may have read the list
// of instances while this process's word that one leaves still holds.
const _listLimit = 15 * time.Second

// Store is what the watcher needs of the platform.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// View is an immutable picture of placements and instances.
type View struct {
	placements map[string]*wire.Placement
	versions   map[string]uint64
	instances  map[string]storer.Instance
}

// Placements returns the placements by key. Callers must not change it.
func (v View) Placements() map[string]*wire.Placement { return v.placements }

// PlacementVersion returns the platform's version of a placement; 0 where it is not
// known to exist there.
func (v View) PlacementVersion(key string) uint64 { return v.versions[key] }

// Instances returns the platform's list by name. Callers must not change it.
func (v View) Instances() map[string]storer.Instance { return v.instances }

// Watcher keeps the newest View. Make it with New. It is safe for concurrent
// use.
type Watcher struct {
	store Store
	turn  *reader.Schedule
	log   logger.Logger

	mu      sync.Mutex
	view    View
	listed  time.Time // when the list of instances was asked for
	changed chan struct{}
}

// New returns a Watcher with an empty view that polls in its turn.
func New(store Store, turn *reader.Schedule, log logger.Logger) *Watcher {
	return &Watcher{store: store, turn: turn, log: log, changed: make(chan struct{})}
}

// View returns the newest view.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.supersede()
	return w.view
}

// supersede takes back that instances leave where other processes have read
// the list much later: they tell which ones do. During an outage nobody has, and
// the last word stands. The caller holds the lock.
func (w *Watcher) supersede() {
	if w.turn.LastRead().Sub(w.listed) <= _listLimit {
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
		w.replace(view)
	}
}

// Changed returns a channel that is closed when the view next changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Offer takes a placement that a peer sent; an older revision is dropped.
func (w *Watcher) Offer(p *wire.Placement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.merge(PlacementKey(p), 0, p)
}

// PlacementKey returns the platform key of a placement.
func PlacementKey(p *wire.Placement) string {
	return KeyPrefix + p.GetDataCentre() + "/" + p.GetDomain()
}

// Run polls the platform, whenever it is this process's turn, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for w.turn.WaitUntilDue(ctx) == nil {
		if err := w.Poll(ctx); err != nil && ctx.Err() == nil {
			w.turn.BackOff(ctx, err)
			continue
		}
		w.turn.Sleep(ctx, _pollInterval)
	}
}

// Poll reads placements and instances once.
func (w *Watcher) Poll(ctx context.Context) error {
	sent := time.Now()
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
	w.list(instances)
	w.listed = sent
	w.turn.RecordSuccess(sent)
	return nil
}

// merge puts a placement into a new view where it is newer. The caller holds
// the lock.
//
// Two copies of one revision are the same placement: each write is conditional
// on the version before it and raises the revision by one, so only one writer
// can make a revision. That would end if an object were deleted and created
// anew, which nothing does; so an equal revision from the platform only brings
// the version, which a copy from a peer lacks.
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
	w.replace(next)
	return true
}

// list puts the platform's list into a new view. The caller holds the lock.
func (w *Watcher) list(instances []storer.Instance) {
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
	w.replace(next)
}

func (w *Watcher) replace(next View) {
	w.view = next
	close(w.changed)
	w.changed = make(chan struct{})
}
