package gossiper

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _localLimit is how old the word of a process of the same data centre may
	// be for the process to count as live.
	_localLimit = 15 * time.Second
	// _remoteLimit is the same for a process of another data centre, whose word
	// is passed on less often.
	_remoteLimit = 150 * time.Second
	// _forgetAfter is how long a silent process stays known, so that two sides
	// of a long partition find each other again.
	_forgetAfter = 24 * time.Hour
)

// Process is what a table knows of one process.
type Process struct {
	id     uint64
	record *wire.ProcessRecord
	said   time.Time
	first  time.Time
}

// Record returns the process's newest word; its age is not set. Callers must
// not change it.
func (p Process) Record() *wire.ProcessRecord { return p.record }

// Table holds the newest word of each process by name. The zero value is an
// empty table. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	byName     map[string]*Process
	byID       map[uint64]*Process
}

// identify returns the id of one run of a process.
func identify(r *wire.ProcessRecord) uint64 {
	return xxhash.Sum64String(r.GetName() + "\x00" + strconv.FormatInt(r.GetStartedUnixMs(), 10))
}

// Merge takes a whole record and reports whether it is newer than what the
// table has: a later start wins, then a higher sequence.
func (t *Table) Merge(r *wire.ProcessRecord, now time.Time) bool {
	if r.GetName() == "" {
		return false
	}
	old := t.byName[r.GetName()]
	if old != nil && !newer(r, old.record) {
		return false
	}
	next := &Process{id: identify(r), record: r, said: now.Add(-age(r.GetAgeMs())), first: now}
	if old != nil {
		if old.id == next.id {
			next.first = old.first
		}
		delete(t.byID, old.id)
	}
	if t.byName == nil {
		t.byName, t.byID = make(map[string]*Process), make(map[uint64]*Process)
	}
	t.byName[r.GetName()] = next
	t.byID[next.id] = next
	return true
}

func newer(a, b *wire.ProcessRecord) bool {
	if a.GetStartedUnixMs() != b.GetStartedUnixMs() {
		return a.GetStartedUnixMs() > b.GetStartedUnixMs()
	}
	return a.GetSequence() > b.GetSequence()
}

// MergeBeat takes the short form of a process's word. It reports whether the table
// knows the process.
func (t *Table) MergeBeat(b *wire.ProcessBeat, number uint64, now time.Time) bool {
	p := t.byID[b.GetId()]
	if p == nil {
		return false
	}
	if b.GetSequence() > p.record.GetSequence() {
		r := proto.CloneOf(p.record)
		r.Sequence, r.Draining = b.GetSequence(), b.GetDraining()
		r.ConfigurationNumber = uint64(int64(number) - b.GetBehind())
		p.record, p.said = r, now.Add(-age(b.GetAgeMs()))
	}
	return true
}

// Get returns what is known of the process of that name.
func (t *Table) Get(name string) (Process, bool) {
	p, ok := t.byName[name]
	if !ok {
		return Process{}, false
	}
	return *p, true
}

// Expire forgets processes that have been silent for a day.
func (t *Table) Expire(now time.Time) {
	for name, p := range t.byName {
		if now.Sub(p.said) > _forgetAfter {
			delete(t.byName, name)
			delete(t.byID, p.id)
		}
	}
}

// IsLive says that the process's word is young enough for it to count as live.
func (t *Table) IsLive(p Process, now time.Time) bool {
	limit := _remoteLimit
	if p.record.GetDataCentre() == t.dataCentre {
		limit = _localLimit
	}
	return now.Sub(p.said) <= limit
}

// Records returns a copy of each known process's word in the order of data
// centre and name, with its age.
func (t *Table) Records(now time.Time) []*wire.ProcessRecord {
	out := make([]*wire.ProcessRecord, 0, len(t.byName))
	for _, p := range t.byName {
		out = append(out, p.aged(now))
	}
	slices.SortFunc(out, func(a, b *wire.ProcessRecord) int {
		return cmp.Or(cmp.Compare(a.GetDataCentre(), b.GetDataCentre()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out
}

func (p *Process) aged(now time.Time) *wire.ProcessRecord {
	r := proto.CloneOf(p.record)
	r.AgeMs = millis(now.Sub(p.said))
	return r
}

func age(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }
