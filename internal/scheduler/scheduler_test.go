package scheduler_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// scriptRunner runs one script against a Scheduler. A line is a time in
// milliseconds, a command, its arguments and key=value options:
//
//	entries count=N                                           sets the number of entries
//	report REPLICA load=N [generation=N] [slots=N]            a load report
//	add ID [organisation=] [max=N] [tried=REPLICA] [times=N]  new requests
//	again ID [tried=REPLICA]                                  queues a request again
//	grow ID tokens=N                                          the tokens generated so far
//	release ID [tokens=N]                                     releases a slot
//	refused ID                                                the replica refused as full
//	cancel ID                                                 the caller gave up
//	review                                                    runs a scheduling pass and prints the outcomes
type scriptRunner struct {
	scheduler  scheduler.Scheduler
	candidates []router.Candidate
	requests   map[string]scheduler.Request
	ids        map[string]uint64
	out        strings.Builder
}

func TestScheduler(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			require.NoError(t, err)
			s := scriptRunner{requests: make(map[string]scheduler.Request), ids: make(map[string]uint64)}
			s.scheduler.Router = router.Router{EvidenceLimit: time.Hour, LongShare: 0.5}
			s.scheduler.Estimator.LongTokens = 512
			s.scheduler.ShortWait, s.scheduler.LongWait = 1500*time.Millisecond, 30*time.Second
			for line := range strings.Lines(string(archive.Files[0].Data)) {
				s.step(t, strings.Fields(line))
			}
			assert.Equal(t, string(archive.Files[1].Data), s.out.String())
		})
	}
}

func (s *scriptRunner) step(t *testing.T, words []string) {
	at, err := strconv.Atoi(words[0])
	require.NoError(t, err)
	now := time.UnixMilli(int64(1_000_000 + at))
	options := make(map[string]string)
	for _, w := range words[2:] {
		k, v, _ := strings.Cut(w, "=")
		options[k] = v
	}
	number := func(key string) int { n, _ := strconv.Atoi(options[key]); return n }
	id := append(words, "", "")[2]
	switch words[1] {
	case "entries":
		s.scheduler.Router.Entries = number("count")
	case "report":
		s.report(id, number("generation"), number("slots"), number("load"), now)
	case "add", "again":
		q := scheduler.Request{ID: id, Organisation: options["organisation"], Model: "m", MaxTokens: number("max")}
		if words[1] == "again" {
			q = s.requests[id]
			q.Requeued = true
		}
		if options["tried"] != "" {
			q.Tried = map[router.Key]bool{{Name: options["tried"], Generation: uint64(max(1, number("generation")))}: true}
		}
		s.add(q, number("times"), now)
	case "grow":
		s.scheduler.ReportTokens(s.ids[id], number("tokens"))
	case "release":
		s.scheduler.Release(s.ids[id], number("tokens"), now)
	case "refused":
		s.scheduler.ReleaseRefused(s.ids[id], now)
	case "cancel":
		s.scheduler.Cancel(s.ids[id])
	case "review":
		s.schedule(words[0], now)
	default:
		t.Fatalf("unknown command %q", words[1])
	}
}

func (s *scriptRunner) report(name string, generation, slots, load int, now time.Time) {
	c := router.Candidate{
		Replica: &wire.Replica{
			Name: name, Generation: uint64(max(1, generation)), Slots: uint32(max(slots, 2)), Members: []string{name},
		},
		Confirmed: now, ReportedLoad: load, ReportedAt: now,
	}
	for i := range s.candidates {
		if s.candidates[i].Replica.GetName() == name {
			s.candidates[i] = c
			return
		}
	}
	s.candidates = append(s.candidates, c)
}

func (s *scriptRunner) add(q scheduler.Request, times int, now time.Time) {
	for i := range max(1, times) {
		x := q
		if times > 1 {
			x.ID += strconv.Itoa(i)
		}
		n, err := s.scheduler.Add(x, now)
		if err != nil {
			fmt.Fprintf(&s.out, "add %s: %s\n", x.ID, errorText(err))
			continue
		}
		s.ids[x.ID] = n
	}
}

func (s *scriptRunner) schedule(at string, now time.Time) {
	candidates := func(string, string) []router.Candidate { return append([]router.Candidate(nil), s.candidates...) }
	for _, o := range s.scheduler.Schedule(now, candidates) {
		s.requests[o.Request().ID] = o.Request()
		if o.Err() != nil {
			fmt.Fprintf(&s.out, "%s %s: %s\n", at, o.Request().ID, errorText(o.Err()))
			continue
		}
		fmt.Fprintf(&s.out, "%s %s: %s long=%t wait=%d\n", at, o.Request().ID, o.Chosen().Replica.GetName(), o.Long(), o.Wait().Milliseconds())
	}
}

func errorText(err error) string {
	var refused *scheduler.RefusedError
	if !errors.As(err, &refused) {
		return err.Error()
	}
	return fmt.Sprintf("%v retry=%t", refused.Unwrap(), refused.RetryAfter() >= time.Second)
}
