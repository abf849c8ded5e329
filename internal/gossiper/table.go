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
	// _maxLocalAge is the age of a record up to which a process of the same data centre
	// counts as live.
	_maxLocalAge = 15 * time.Second
	// _maxRemoteAge is that age for a process of another data centre, whose heartbeats are
	// passed on less often.
	_maxRemoteAge = 150 * time.Second
	// _processLifetime is how long a process without heartbeats stays in the table. It is
	// long so that the two sides of a long network partition find each other again.
	_processLifetime = 24 * time.Hour
)

// Process is the entry of one process in a Table.
type Process struct {
	id     uint64
	record *wire.ProcessRecord
	// issuedAt is when the process issued the record, and firstSeen is when this run of the
	// process was first heard of.
	issuedAt  time.Time
	firstSeen time.Time
}

// Record returns the newest known record of the process; its age is not kept up to date.
// Callers must not change it.
func (p Process) Record() *wire.ProcessRecord { return p.record }

// Table holds the newest known record of each process by name. The zero value is an
// empty table. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	byName     map[string]*Process
	byID       map[uint64]*Process
}

// processID returns the id of one run of a process: a hash of its name and start time.
func processID(r *wire.ProcessRecord) uint64 {
	return xxhash.Sum64String(r.GetName() + "\x00" + strconv.FormatInt(r.GetStartedUnixMs(), 10))
}

// Merge adds a whole record if it is newer than the one in the table, and reports
// whether it is. Of two records, the one of the later start is newer, then the one with
// the higher sequence. The table keeps r.
func (t *Table) Merge(r *wire.ProcessRecord, now time.Time) bool {
	if r.GetName() == "" {
		return false
	}
	old := t.byName[r.GetName()]
	if old != nil && !newer(r, old.record) {
		return false
	}
	next := &Process{id: processID(r), record: r, issuedAt: now.Add(-age(r.GetAgeMs())), firstSeen: now}
	if old != nil {
		if old.id == next.id {
			next.firstSeen = old.firstSeen
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

// newer reports whether a was issued after b; both are records of the same process name.
func newer(a, b *wire.ProcessRecord) bool {
	if a.GetStartedUnixMs() != b.GetStartedUnixMs() {
		return a.GetStartedUnixMs() > b.GetStartedUnixMs()
	}
	return a.GetSequence() > b.GetSequence()
}

// MergeHeartbeat applies a heartbeat if it is newer than the record in the table. The
// process's configuration number is number minus the heartbeat's Behind. MergeHeartbeat
// reports whether the table holds that run of the process.
func (t *Table) MergeHeartbeat(b *wire.ProcessBeat, number uint64, now time.Time) bool {
	p := t.byID[b.GetId()]
	if p == nil {
		return false
	}
	if b.GetSequence() > p.record.GetSequence() {
		r := proto.CloneOf(p.record)
		r.Sequence, r.Draining = b.GetSequence(), b.GetDraining()
		r.ConfigurationNumber = uint64(int64(number) - b.GetBehind())
		p.record, p.issuedAt = r, now.Add(-age(b.GetAgeMs()))
	}
	return true
}

// Get returns the entry of the process of that name.
func (t *Table) Get(name string) (Process, bool) {
	p, ok := t.byName[name]
	if !ok {
		return Process{}, false
	}
	return *p, true
}

// Expire removes processes without a heartbeat for 24 h.
func (t *Table) Expire(now time.Time) {
	for name, p := range t.byName {
		if now.Sub(p.issuedAt) > _processLifetime {
			delete(t.byName, name)
			delete(t.byID, p.id)
		}
	}
}

// IsLive reports whether the process's record is recent enough for it to count as live.
func (t *Table) IsLive(p Process, now time.Time) bool {
	limit := _maxRemoteAge
	if p.record.GetDataCentre() == t.dataCentre {
		limit = _maxLocalAge
	}
	return now.Sub(p.issuedAt) <= limit
}

// Records returns a copy of each known process's record with its age, sorted by data
// centre and name.
func (t *Table) Records(now time.Time) []*wire.ProcessRecord {
	out := make([]*wire.ProcessRecord, 0, len(t.byName))
	for _, p := range t.byName {
		out = append(out, p.recordWithAge(now))
	}
	slices.SortFunc(out, func(a, b *wire.ProcessRecord) int {
		return cmp.Or(cmp.Compare(a.GetDataCentre(), b.GetDataCentre()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out
}

// recordWithAge returns a copy of the record with its age at now.
func (p *Process) recordWithAge(now time.Time) *wire.ProcessRecord {
	r := proto.CloneOf(p.record)
	r.AgeMs = millis(now.Sub(p.issuedAt))
	return r
}

func age(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// Addresses returns the peer addresses of the known processes.
func (t *Table) Addresses() []string {
	var out []string
	for _, p := range t.byName {
		if a := p.record.GetPeerAddress(); a != "" {
			out = append(out, a)
		}
	}
	return out
}
