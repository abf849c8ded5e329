package quarantiner_test

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

	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
)

// _exchangeInterval is the time between two exchanges of evidence.
const _exchangeInterval = 200 * time.Millisecond

// TestScripts runs the scripts in testdata with processes that exchange their evidence.
// Each line of a script is a command, and # starts a comment. PROCESS is a name; a process
// begins with its first command.
//
//	PROCESS output PART...            an upstream generates output for a prompt
//	PROCESS active UPSTREAM           an upstream sends output for a request sent at this time
//	PROCESS late UPSTREAM DURATION    output arrives for a request sent that long ago
//	PROCESS broken UPSTREAM PART...   a response breaks off before its first output
//	PROCESS refused UPSTREAM          an upstream refuses a connection
//	restart UPSTREAM                  an upstream starts again, and the platform's list shows it
//	leaving UPSTREAM                  an upstream is about to leave
//	PROCESS sends yes|no PART...      check that a prompt may be sent
//	PROCESS resends yes|no UPSTREAM PART...  check that it may be sent again after a crash
//	PROCESS ends                      a process is gone, with what it knows
//	alone PROCESS                     a process exchanges nothing any more
//	wait DURATION                     advance the time
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { runScript(t, f) })
	}
}

// world holds the processes of a script.
type world struct {
	now       time.Time
	processes map[string]*quarantiner.Quarantiner
	alone     map[string]bool
	// starts counts the starts of each upstream after the first, and leaving holds those
	// that are about to leave.
	starts  map[string]int64
	leaving map[string]bool
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer f.Close()
	w := &world{
		now: time.Unix(1_800_000_000, 0), processes: make(map[string]*quarantiner.Quarantiner), alone: make(map[string]bool),
		starts: make(map[string]int64), leaving: make(map[string]bool),
	}
	n := 0
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		n++
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			w.run(t, n, words)
		}
	}
}

func (w *world) run(t *testing.T, line int, words []string) {
	switch words[0] {
	case "wait":
		d, err := time.ParseDuration(words[1])
		require.NoError(t, err)
		for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(_exchangeInterval) {
			w.exchange()
		}
		return
	case "alone":
		w.alone[words[1]] = true
		return
	case "restart":
		w.starts[words[1]]++
		return
	case "leaving":
		w.leaving[words[1]] = true
		return
	}
	q := w.processes[words[0]]
	if q == nil {
		q = &quarantiner.Quarantiner{}
		w.processes[words[0]] = q
	}
	switch words[1] {
	case "output":
		q.RecordOutput(parts(words[2:]))
	case "active":
		q.RecordActivity(life(words[2]), w.now, w.now)
	case "late":
		ago, err := time.ParseDuration(words[3])
		require.NoError(t, err)
		q.RecordActivity(life(words[2]), w.now.Add(-ago), w.now)
	case "broken":
		startedMs := w.startedMs(words[2])
		if w.leaving[words[2]] {
			startedMs = 0
		}
		q.RecordBroken(life(words[2]), startedMs, parts(words[3:]), w.now)
	case "refused":
		q.RecordRefused(life(words[2]), w.now)
	case "sends":
		left, _ := q.QuarantinedFor(parts(words[3:]), w.now)
		assert.Equal(t, words[2] == "yes", left == 0, "line %d", line)
	case "resends":
		assert.Equal(t, words[2] == "yes", q.MayResend(parts(words[4:]), life(words[3]), w.now), "line %d", line)
	case "ends":
		delete(w.processes, words[0])
	default:
		t.Fatalf("line %d: unknown command %s", line, words[1])
	}
}

// exchange gives each process the sum of what all processes share.
func (w *world) exchange() {
	var sum quarantiner.Evidence
	for name, q := range w.processes {
		q.RecordStarts(w.startedMs, w.now)
		if !w.alone[name] {
			sum.Add(q.Share(w.now), 0)
		}
	}
	for name, q := range w.processes {
		if w.alone[name] {
			q.Receive(q.Share(w.now), w.now)
		} else {
			q.Receive(sum, w.now)
		}
	}
}

func (w *world) startedMs(upstream string) int64 { return 1_800_000_000_000 + w.starts[upstream] }

func parts(ids []string) []quarantiner.Part {
	var out []quarantiner.Part
	for _, id := range ids {
		out = append(out, quarantiner.NewPart("engines", id))
	}
	return out
}

func life(upstream string) quarantiner.Life { return quarantiner.Life{Upstream: upstream, Epoch: 1} }

// Whatever breaks off, memory stays bounded, and a part with output is not quarantined.
func TestManyCrashes(t *testing.T) {
	var q quarantiner.Quarantiner
	now := time.Unix(1_800_000_000, 0)
	q.RecordOutput(parts([]string{"sound"}))
	for n := range 5000 {
		upstream := strconv.Itoa(n)
		waiting := parts([]string{"sound", "p" + upstream})
		q.RecordBroken(life(upstream), 0, waiting, now)
		q.RecordRefused(life(upstream), now)
		now = now.Add(10 * time.Millisecond)
	}
	assert.LessOrEqual(t, len(q.Share(now).Crashes), 256)
	quarantined := q.Receive(q.Share(now), now)
	for _, c := range quarantined {
		assert.NotContains(t, c.Parts(), parts([]string{"sound"})[0])
	}
}
