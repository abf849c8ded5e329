package screener_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// script is the state of one script: the upstreams of service "s", whose cold upstreams take
// 4 requests per second, times 1.5, plus 3.
type script struct {
	*screener.Screener
	now       time.Time
	upstreams map[string]cataloguer.Upstream
	// starts has the start of each life, in Unix milliseconds.
	starts map[string]int64
}

// TestScripts runs the scripts in testdata. # begins a comment; each line is a command:
//
//	configure | unconfigure          set a configuration with the service, as at the start, or without
//	processes NAME...                set the running processes; this one is p1
//	list ID DC LIFE COLD [draining]  list an upstream in the life of that number, cold for COLD more; a life
//	                                 begins when it is first named, or with LIFE@AGO so long before
//	unlist ID                        remove an upstream from the list
//	evacuate DC... | restore         evacuate these data centres, or none
//	leaving ID LIFE SOURCE           record that an upstream, in the life of that number, is leaving
//	wait ID DURATION                 record that an upstream asked to wait
//	limit ID RATE CHANGE             record a stated limit in a response, and expect this change
//	nolimit ID AGO CHANGE            record a response without a limit to a request sent so long ago
//	told ID RATE|end AGE CHANGE      receive what another process saw of a limit
//	next DURATION                    expect after what time this process may send to the first limited one
//	pass DURATION                    let time pass; the list is read again
//	expect ID STATE [SOURCE]         expect the state of an upstream
//	select ID...|none [EXCLUDED]     expect the candidates, and the state of the others
//	free DURATION                    expect after what time the first that asked to wait is free
//	take ID N OK                     try to send N requests to an upstream; expect OK of them
//	shared N                         expect the departures that are told to other processes
//	limits N                         expect the limits and their ends that are told to other processes
//	forget N                         expect this number of limits to lapse
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { runScript(t, f) })
	}
}

func newScript() *script {
	s := &script{
		Screener: &screener.Screener{Name: "p1", ColdLimit: screener.ColdLimit{Overage: 1.5, Slack: 3}},
		now:      time.Unix(1_800_000_000, 0), upstreams: make(map[string]cataloguer.Upstream),
		starts: make(map[string]int64),
	}
	s.SetConfiguration(configuration())
	return s
}

// configuration returns a configuration with the service of all upstreams.
func configuration() *cataloguer.Configuration {
	return &cataloguer.Configuration{Services: map[string]cataloguer.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 4}}}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer f.Close()
	s := newScript()
	n := 0
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		n++
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.run(t, n, words[0], words[1:])
		}
	}
}

func (s *script) run(t *testing.T, line int, command string, words []string) {
	switch command {
	case "configure":
		s.SetConfiguration(configuration())
	case "unconfigure":
		s.SetConfiguration(&cataloguer.Configuration{})
	case "processes":
		s.SetProcesses(words, s.now)
	case "list":
		s.upstreams[words[0]] = cataloguer.Upstream{
			ID: words[0], Service: "s", DataCentre: words[1], StartedMs: s.startOf(t, words[0], words[2]), ColdTime: parseDuration(t, words[3]), Draining: len(words) > 4,
		}
		s.observe()
	case "unlist":
		delete(s.upstreams, words[0])
		s.observe()
	case "evacuate", "restore":
		dataCentres := make(map[string]bool)
		for _, d := range words {
			dataCentres[d] = true
		}
		s.SetEvacuated(dataCentres, s.now)
	case "leaving":
		s.RecordLeaving(screener.Life{Upstream: words[0], StartedMs: s.startOf(t, words[0], words[1])}, screener.Source(words[2]), s.now)
	case "wait":
		u := s.upstreams[words[0]]
		s.RecordWait(&u, parseDuration(t, words[1]), 0, s.now)
	case "limit", "nolimit", "told":
		s.recordLimit(t, line, command, words)
	case "pass":
		s.now = s.now.Add(parseDuration(t, words[0]))
		s.observe()
	case "expect":
		u := s.upstreams[words[0]]
		v := s.Screen(&u, s.now)
		assert.Equal(t, words[1], v.State.String(), "line %d", line)
		if len(words) > 2 {
			assert.Equal(t, words[2], string(v.Source), "line %d", line)
		}
	case "select":
		s.checkSelection(t, line, words)
	case "free":
		assert.Equal(t, parseDuration(t, words[0]), s.Select(s.list(), s.now).FreeAt.Sub(s.now), "line %d", line)
	case "take":
		u, taken := s.upstreams[words[0]], 0
		for range parseInt(t, words[1]) {
			if s.Take(&u, s.now) {
				taken++
			}
		}
		assert.Equal(t, parseInt(t, words[2]), taken, "line %d", line)
	case "next":
		assert.Equal(t, parseDuration(t, words[0]), s.Select(s.list(), s.now).FreeAt.Sub(s.now), "line %d", line)
	case "limits":
		assert.Len(t, s.OwnLimits(s.now), parseInt(t, words[0]), "line %d", line)
	case "forget":
		assert.Len(t, s.ForgetLimits(cataloguer.NewFleet(1, s.upstreams), s.now), parseInt(t, words[0]), "line %d", line)
	case "shared":
		assert.Len(t, s.RecentDepartures(s.now), parseInt(t, words[0]), "line %d", line)
	default:
		t.Fatalf("line %d: unknown command %s", line, command)
	}
}

func (s *script) recordLimit(t *testing.T, line int, command string, words []string) {
	u := s.upstreams[words[0]]
	life, last := screener.LifeOf(&u), words[len(words)-1]
	change := screener.LimitUnchanged
	switch command {
	case "limit":
		change = s.RecordLimit(life, parseRate(t, words[1]), s.now)
	case "nolimit":
		change = s.RecordNoLimit(life, s.now.Add(-parseDuration(t, words[1])), s.now)
	default:
		n := screener.LimitNotice{Age: parseDuration(t, words[2]), Ended: words[1] == "end"}
		if !n.Ended {
			n.Rate = parseRate(t, words[1])
		}
		change = s.ReceiveLimit(life, n, s.now)
	}
	assert.Equal(t, last, change.String(), "line %d", line)
}

func parseRate(t *testing.T, text string) float64 {
	rate, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return rate
}

// startOf returns the start of a life of an upstream, in Unix milliseconds.
func (s *script) startOf(t *testing.T, id, life string) int64 {
	number, ago, ok := strings.Cut(life, "@")
	parseInt(t, number)
	key := id + " " + number
	if _, known := s.starts[key]; !known {
		if !ok {
			ago = "0s"
		}
		s.starts[key] = s.now.Add(-parseDuration(t, ago)).UnixMilli()
	}
	return s.starts[key]
}

// observe passes the list to the screener.
func (s *script) observe() {
	upstreams := make(map[string]cataloguer.Upstream)
	for id, u := range s.upstreams {
		upstreams[id] = u
	}
	s.Observe(cataloguer.NewFleet(1, upstreams), s.now)
}

// list returns the upstreams sorted by id.
func (s *script) list() []cataloguer.Upstream {
	return cataloguer.NewFleet(1, s.upstreams).OfService("s")
}

func (s *script) checkSelection(t *testing.T, line int, words []string) {
	got := s.Select(s.list(), s.now)
	var ids []string
	for _, u := range got.Candidates {
		ids = append(ids, u.ID)
	}
	want := words
	if words[0] == "none" {
		want = nil
		assert.Equal(t, words[1], got.Excluded.String(), "line %d", line)
	}
	assert.Equal(t, want, ids, "line %d", line)
}

func parseInt(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}
