package quarantiner

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _crashesUntilQuarantine is the number of crashes in which a part must be a suspect.
	// Fewer may be chance: a sound part may wait where an upstream crashes by itself.
	_crashesUntilQuarantine = 3
	// _crashesUntilTooNarrow is the number of further crashes after which a combination of
	// parts is taken to miss the prompts under which upstreams crash.
	_crashesUntilTooNarrow = 2
	// _breaksUntilQuarantine is the number of moments at which responses must break off under a
	// part, in lives of their own, for a quarantine although the crashes are not confirmed. A
	// start of the upstream would confirm them, but it may take longer than the next crash.
	_breaksUntilQuarantine = 5
	// _breakSpacing is the shortest time between two such moments: responses that break off
	// together may have been cut with a link.
	_breakSpacing = 300 * time.Millisecond
	// _breakMemory is how long breaks that are not confirmed count for that.
	_breakMemory = time.Minute
	// _provisionalTime is how long a quarantine lasts without confirmed crashes.
	_provisionalTime = 20 * time.Second
	// _clearanceDelay is how long after the last of these crashes was known a part is
	// quarantined, so that a process that has cleared it can say so.
	_clearanceDelay = time.Second
	// _quarantineTime is how long a part stays quarantined. It may then be tried again,
	// since upstreams may have been repaired.
	_quarantineTime = 10 * time.Minute
	// _memoryTime is how long crashes are remembered.
	_memoryTime = 10 * time.Minute
	// _shareTime is how long a crash is told to other processes, which remember it.
	_shareTime = 3 * time.Second
	// _restartTime is how long after a response broke off a start of its upstream shows that
	// the upstream had crashed. A later one may have other reasons.
	_restartTime = 20 * time.Second
	// _extensionMargin is by how much a quarantine that another process tells of must
	// outlast the known one to extend it. Times grow a little on their way, and would
	// extend each other for ever.
	_extensionMargin = 10 * time.Second
	// _maxCombination is the largest number of parts of a combination. A prompt that has
	// that many of them is taken to have the others.
	_maxCombination = 64
	// _maxCrashes is the largest number of crashes that are remembered, _maxSuspects that
	// of suspects of one crash, _maxCleared that of cleared parts, twice, and
	// _maxQuarantines that of quarantines.
	_maxCrashes     = 256
	_maxSuspects    = 256
	_maxCleared     = 4096
	_maxQuarantines = 1024
)

// Quarantiner holds the evidence of one process and what others have told it. The zero
// value is ready for use. It is safe for concurrent use.
type Quarantiner struct {
	// crashCount is the number of crashes that are known.
	crashCount atomic.Int32

	mu    sync.Mutex
	known crashes
	// cleared holds the parts for which this process saw output: the newest ones, and
	// those before them.
	cleared, clearedBefore map[Part]bool
	// clearedSuspects holds the suspects that any process has cleared.
	clearedSuspects map[Part]bool
	quarantines     quarantines
}

// RecordOutput records that an upstream generates output for a prompt with the given parts.
func (q *Quarantiner) RecordOutput(parts []Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		q.clearSuspect(p)
		if q.cleared[p] {
			continue
		}
		if q.cleared == nil || len(q.cleared) >= _maxCleared {
			q.cleared, q.clearedBefore = make(map[Part]bool), q.cleared
		}
		q.cleared[p] = true
	}
}

// clearSuspect remembers that a part is cleared for as long as it is a suspect.
func (q *Quarantiner) clearSuspect(p Part) {
	if q.known.counts[p] == 0 {
		return
	}
	if q.clearedSuspects == nil {
		q.clearedSuspects = make(map[Part]bool)
	}
	q.clearedSuspects[p] = true
}

// RecordActivity records that an upstream sends output, in a life, for a request that was sent at
// sentAt. Output for a request that was sent before a response broke off says nothing: it may be
// read long after the upstream sent it, for example where the caller reads slowly.
func (q *Quarantiner) RecordActivity(life Life, sentAt, now time.Time) {
	if q.crashCount.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.known.records[life]
	if r == nil || r.Survived || !sentAt.After(r.brokenAt) {
		return
	}
	r.Survived = true
	r.ownAt = now // so that other processes are told
}

// RecordBroken records that a response broke off. waiting are the parts of its prompt if
// no output had come; none otherwise. startedMs is when the upstream had started, in Unix
// milliseconds; 0 if that is unknown or the upstream was about to leave, and so to end.
func (q *Quarantiner) RecordBroken(life Life, startedMs int64, waiting []Part, now time.Time) {
	c := Crash{Broken: 1, Suspects: make(map[Part]bool)}
	for _, p := range waiting {
		c.Suspects[p] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.known.records[life]; r != nil {
		c.Series = r.Series
		if r.Survived {
			c.Series++
		}
	}
	q.record(life, c, now).startedMs = startedMs
}

// RecordRefused records that an upstream refused a connection.
func (q *Quarantiner) RecordRefused(life Life, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Where nothing broke off before, the upstream may never have been reached.
	if r := q.known.records[life]; r != nil {
		q.record(life, Crash{Series: r.Series, Ended: true}, now)
	}
}

// RecordStarts records which upstreams have started again since a response of theirs broke
// off, and returns those. startedMs returns when an upstream started, as RecordBroken has it.
func (q *Quarantiner) RecordStarts(startedMs func(upstream string) int64, now time.Time) []Life {
	if q.crashCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Life
	for life, r := range q.known.records {
		if r.startedMs == 0 || r.Ended || now.Sub(r.at) > _restartTime || startedMs(life.Upstream) <= r.startedMs {
			continue
		}
		q.record(life, Crash{Series: r.Series, Ended: true}, now)
		out = append(out, life)
	}
	return out
}

// record adds what this process saw of a crash.
func (q *Quarantiner) record(life Life, c Crash, now time.Time) *record {
	q.forget(now)
	maps.DeleteFunc(c.Suspects, func(p Part, _ bool) bool { return q.isCleared(p) })
	before := q.known.records[life]
	wasConfirmed := before != nil && before.isConfirmed()
	r := q.known.add(life, c, now)
	r.ownBroken += c.Broken
	if r.ownAt.IsZero() || r.isConfirmed() && !wasConfirmed {
		r.ownAt = now
	}
	q.crashCount.Store(int32(len(q.known.records)))
	return r
}

// forget removes what is too old.
func (q *Quarantiner) forget(now time.Time) {
	q.known.forget(now)
	q.quarantines.forget(now)
	maps.DeleteFunc(q.clearedSuspects, func(p Part, _ bool) bool { return q.known.counts[p] == 0 })
	q.crashCount.Store(int32(len(q.known.records)))
}

// Share returns what this process tells others.
func (q *Quarantiner) Share(now time.Time) Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	var e Evidence
	for life, r := range q.known.records {
		if !r.ownAt.IsZero() && now.Sub(r.ownAt) < _shareTime {
			c := r.Crash
			c.Broken = r.ownBroken
			e.Add(Evidence{Crashes: map[Life]Crash{life: c}}, 0)
		}
	}
	suspicions, _ := q.suspicions(now)
	for p, x := range suspicions {
		if x.confirmed.len() > 1 && q.isCleared(p) {
			e.Add(Evidence{Cleared: map[Part]bool{p: true}}, 0)
		}
	}
	for c, x := range q.quarantines.byCombination {
		e.Add(Evidence{Quarantined: map[Combination]time.Duration{c: x.until.Sub(now)}}, 0)
	}
	return e
}

// Receive takes the evidence of all processes, and returns the combinations of parts that
// are quarantined from now on.
func (q *Quarantiner) Receive(e Evidence, now time.Time) []Combination {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	for life, c := range e.Crashes {
		// The crash may include what this process told, and be told again.
		if r := q.known.records[life]; r != nil && r.Series == c.Series {
			c.Broken -= min(r.Broken, c.Broken)
		}
		q.known.add(life, c, now)
	}
	q.crashCount.Store(int32(len(q.known.records)))
	for p := range e.Cleared {
		q.clearSuspect(p)
	}
	var out []Combination
	for c, left := range e.Quarantined {
		until := now.Add(min(left, _quarantineTime))
		if until.Sub(q.quarantines.byCombination[c].until) > _extensionMargin && q.quarantines.add(c, until, now) {
			out = append(out, c)
		}
	}
	for c, lasting := range q.convictions(now) {
		if q.quarantines.add(c, now.Add(lasting), now) {
			out = append(out, c)
		}
	}
	return out
}

func (q *Quarantiner) isCleared(p Part) bool {
	return q.cleared[p] || q.clearedBefore[p] || q.clearedSuspects[p]
}

// QuarantinedFor returns for how long prompts with the given parts must not be sent, and
// those of the parts because of which, or 0 if they may be sent.
func (q *Quarantiner) QuarantinedFor(parts []Part, now time.Time) (time.Duration, Combination) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, x := q.quarantines.find(parts, now)
	if c == "" {
		return 0, ""
	}
	return x.until.Sub(now), c
}

// MayResend reports whether a request whose response broke off before its first output may
// be sent to another upstream. It may not if one of its parts is a suspect in another
// crash, since it may crash the next upstream too.
func (q *Quarantiner) MayResend(parts []Part, broken Life, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	for _, p := range parts {
		if q.known.counts[p] > 0 && !q.isCleared(p) && q.isSuspectBeside(p, broken) {
			return false
		}
	}
	return true
}

// isSuspectBeside reports whether a part is a suspect in a crash of another life.
func (q *Quarantiner) isSuspectBeside(p Part, except Life) bool {
	for life, r := range q.known.records {
		if life != except && !r.Survived && r.Suspects[p] {
			return true
		}
	}
	return false
}

// Count returns the number of quarantined combinations of parts.
func (q *Quarantiner) Count() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(len(q.quarantines.byCombination))
}
