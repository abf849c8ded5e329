package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
)

// conditions are those of a simulated deployment in which a part of prompts crashes upstreams.
type conditions struct {
	name string
	// deadlyPause and soundPause are the times between two requests with and without the part;
	// a soundPause of 0 means that there are none without it.
	deadlyPause, soundPause time.Duration
	// downTime is how long an upstream is down after a crash, and listLag how much later the
	// processes know of its start.
	downTime, listLag time.Duration
	// isDropping is true if an upstream that is down refuses no connection: attempts get no answer.
	isDropping bool
	// lateRead is how long after a crash a process reads what the upstream sent before it.
	lateRead time.Duration
	// exchangeGap is how long one process exchanges nothing, from its first crash on.
	exchangeGap time.Duration
	// brokenBefore is true if a response of each upstream has broken off without a crash before,
	// and the upstream has gone on to send output.
	brokenBefore bool
}

const (
	_simulatedProcesses = 3
	_simulatedUpstreams = 30
	_simulationStep     = 10 * time.Millisecond
	_simulationTime     = 40 * time.Second
	// _crashDelay is the time from the arrival of a request with the part to the crash, and
	// _outputTime that from the arrival of another to its second event.
	_crashDelay = 30 * time.Millisecond
	_outputTime = 80 * time.Millisecond
	// _contactTime is the time after the fifth crash from which no more than _allowedLate
	// requests with the part may reach upstreams.
	_contactTime = 3 * time.Second
	_allowedLate = 3
)

// simulatedUpstream is an upstream of the simulation.
type simulatedUpstream struct {
	epoch     uint64
	downUntil time.Time
	startedAt time.Time
	running   []simulatedSend
}

type simulatedSend struct {
	process  int
	parts    []quarantiner.Part
	sentAt   time.Time
	isDeadly bool
	attempt  int
}

// simulation plays requests against processes that exchange their evidence.
type simulation struct {
	conditions
	random    *rand.Rand
	now       time.Time
	processes []*quarantiner.Quarantiner
	upstreams []*simulatedUpstream
	crashes   []time.Time
	arrivals  []time.Time
	later     map[time.Time][]func()
	isolated  int // process that exchanges nothing until isolatedUntil; -1 for none
	isolation time.Time
}

// after calls f at the step that begins d later.
func (s *simulation) after(d time.Duration, f func()) {
	at := s.now.Add(d.Truncate(_simulationStep))
	s.later[at] = append(s.later[at], f)
}

func (s *simulation) life(u int) quarantiner.Life {
	return quarantiner.Life{Upstream: fmt.Sprintf("u%d", u), Epoch: s.upstreams[u].epoch}
}

// startedMs returns when an upstream started, as the processes know it.
func (s *simulation) startedMs(id string) int64 {
	var n int
	_, _ = fmt.Sscanf(id, "u%d", &n)
	u := s.upstreams[n]
	if s.now.Sub(u.startedAt) < s.listLag {
		return 1
	}
	return u.startedAt.UnixMilli()
}

// send sends a request to an upstream that is up, unless its prompt is quarantined.
func (s *simulation) send(x simulatedSend) {
	q := s.processes[x.process]
	if left, _ := q.QuarantinedFor(x.parts, s.now); left > 0 {
		return
	}
	up := s.runningUpstreams()
	if len(up) == 0 {
		return
	}
	n := up[s.random.IntN(len(up))]
	u := s.upstreams[n]
	x.sentAt = s.now
	u.running = append(u.running, x)
	if x.isDeadly {
		s.arrivals = append(s.arrivals, s.now)
		epoch := u.epoch
		s.after(_crashDelay, func() {
			if u.epoch == epoch {
				s.crash(n)
			}
		})
		return
	}
	epoch := u.epoch
	s.after(_outputTime, func() {
		if u.epoch == epoch {
			q.RecordOutput(x.parts)
			q.RecordActivity(s.life(n), x.sentAt, s.now)
		}
	})
}

// runningUpstreams returns the numbers of the upstreams that are up.
func (s *simulation) runningUpstreams() []int {
	var out []int
	for n, u := range s.upstreams {
		if !s.now.Before(u.downUntil) {
			out = append(out, n)
		}
	}
	return out
}

// crash ends an upstream, and with it the requests that run there.
func (s *simulation) crash(n int) {
	u, life := s.upstreams[n], s.life(n)
	s.crashes = append(s.crashes, s.now)
	started := s.startedMs(life.Upstream)
	running := u.running
	u.running, u.downUntil = nil, s.now.Add(s.downTime)
	u.epoch++
	u.startedAt = u.downUntil
	for _, x := range running {
		if s.now.Sub(x.sentAt) > 400*time.Millisecond {
			continue // it has ended
		}
		q := s.processes[x.process]
		var waiting []quarantiner.Part
		if s.now.Sub(x.sentAt) < _outputTime {
			waiting = x.parts
		}
		q.RecordBroken(life, started, waiting, s.now)
		if x.isDeadly && x.attempt == 1 && q.MayResend(x.parts, life, s.now) {
			x.attempt++
			s.send(x)
		}
		if x.isDeadly && s.isolated < 0 && s.exchangeGap > 0 {
			s.isolated, s.isolation = x.process, s.now.Add(s.exchangeGap)
		}
	}
	if s.lateRead > 0 {
		p, sentAt := s.random.IntN(len(s.processes)), s.now.Add(-100*time.Millisecond)
		s.after(s.lateRead, func() { s.processes[p].RecordActivity(life, sentAt, s.now) })
	}
	if s.soundPause > 0 && !s.isDropping {
		// The next request to the upstream finds that it refuses connections.
		p := s.random.IntN(len(s.processes))
		s.after(s.soundPause*time.Duration(1+s.random.IntN(10)), func() { s.processes[p].RecordRefused(life, s.now) })
	}
}

// exchange gives each process what all of them share.
func (s *simulation) exchange() {
	var sum quarantiner.Evidence
	own := make([]quarantiner.Evidence, len(s.processes))
	for i, q := range s.processes {
		q.RecordStarts(s.startedMs, s.now)
		own[i] = q.Share(s.now)
		if !s.isIsolated(i) {
			sum.Add(own[i], 0)
		}
	}
	for i, q := range s.processes {
		if s.isIsolated(i) {
			q.Receive(own[i], s.now)
		} else {
			q.Receive(sum, s.now)
		}
	}
}

func (s *simulation) isIsolated(process int) bool {
	return process == s.isolated && s.now.Before(s.isolation)
}

// newPrompt returns the parts of a prompt that share all but one with the others.
func (s *simulation) newPrompt(own string) []quarantiner.Part {
	out := []quarantiner.Part{quarantiner.NewPart("engines", own)}
	for i := range 17 {
		out = append(out, quarantiner.NewPart("engines", fmt.Sprintf("shared-%d", i)))
	}
	return out
}

// lateArrivals runs the simulation, and returns how many requests with the part reached
// upstreams later than allowed, and the number of crashes.
func lateArrivals(c conditions, seed uint64) (late, crashes int) {
	s := &simulation{conditions: c, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), later: make(map[time.Time][]func()), isolated: -1}
	for range _simulatedProcesses {
		s.processes = append(s.processes, &quarantiner.Quarantiner{})
	}
	for range _simulatedUpstreams {
		s.upstreams = append(s.upstreams, &simulatedUpstream{epoch: 1, startedAt: s.now.Add(-time.Hour)})
	}
	sound := s.newPrompt("sound")
	for i, q := range s.processes {
		q.RecordOutput(sound[1:])
		if s.brokenBefore {
			for n := range s.upstreams {
				q.RecordBroken(s.life(n), s.startedMs(s.life(n).Upstream), nil, s.now.Add(-2*time.Second))
				if i == 0 {
					q.RecordActivity(s.life(n), s.now.Add(-time.Second), s.now.Add(-time.Second))
				}
			}
		}
	}
	deadly, start := s.newPrompt("deadly"), s.now
	process := 0
	for ; s.now.Sub(start) < _simulationTime; s.now = s.now.Add(_simulationStep) {
		for _, f := range s.later[s.now] {
			f()
		}
		delete(s.later, s.now)
		if elapsed := s.now.Sub(start); elapsed%s.deadlyPause == 0 && elapsed > time.Second {
			process++
			s.send(simulatedSend{process: process % len(s.processes), parts: deadly, isDeadly: true, attempt: 1})
		}
		if s.soundPause > 0 && s.now.Sub(start)%s.soundPause == 0 {
			s.send(simulatedSend{process: s.random.IntN(len(s.processes)), parts: sound})
		}
		if s.now.Sub(start)%_exchangeInterval == 0 {
			s.exchange()
		}
	}
	if len(s.crashes) < 5 {
		return 0, len(s.crashes)
	}
	for _, at := range s.arrivals {
		if at.Sub(s.crashes[4]) > _contactTime {
			late++
		}
	}
	return late, len(s.crashes)
}

// Guards against a part that goes on to crash upstreams because its crashes are not confirmed in
// time, or are taken for responses that only broke off.
func TestPartIsQuarantinedInTime(t *testing.T) {
	testCases := []conditions{
		{name: "busy"},
		{name: "upstreams drop packets", isDropping: true},
		{name: "no other requests", soundPause: -1},
		{name: "many at once", deadlyPause: 100 * time.Millisecond},
		{name: "many at once, no other requests", deadlyPause: 100 * time.Millisecond, soundPause: -1},
		{name: "slow restart, no other requests", downTime: 8 * time.Second, soundPause: -1},
		{name: "output read late", lateRead: 700 * time.Millisecond},
		{name: "output read late, no other requests", lateRead: 700 * time.Millisecond, soundPause: -1},
		{name: "one process cut off for 4 s", exchangeGap: 4 * time.Second},
		{name: "one process cut off for 8 s", exchangeGap: 8 * time.Second},
		{name: "one process cut off, no other requests", exchangeGap: 8 * time.Second, soundPause: -1},
		{name: "responses broken off before", brokenBefore: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.deadlyPause == 0 {
				tc.deadlyPause = time.Second
			}
			switch tc.soundPause {
			case 0:
				tc.soundPause = 50 * time.Millisecond
			case -1:
				tc.soundPause = 0
			}
			if tc.downTime == 0 {
				tc.downTime = 3 * time.Second
			}
			tc.listLag = 700 * time.Millisecond
			for seed := range uint64(20) {
				late, crashes := lateArrivals(tc, seed)
				assert.LessOrEqual(t, late, _allowedLate, "seed %d, crashes %d", seed, crashes)
			}
		})
	}
}
