package grouper_test

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
)

// TestScripts plays the files of testdata. Each line is a command:
//
//	sizes LARGE SMALL     how many upstreams a group of each model spans
//	add DOMAIN N          N empty upstreams come
//	busy                  callers' requests begin
//	run DURATION          time passes
//	kill WHAT             an upstream is gone for good
//	dark, heal            the system can't reach any upstream, or can again
//	cut WHAT, heal        the system can't reach an upstream, or can again
//	unlist WHAT           the platform's list loses an upstream that goes on
//	drain WHAT            an upstream is about to leave
//	term N                another process holds the lease
//	lose DURATION, keep   orders get no answer and are carried out later, or not
//	staged N [MODEL]      so many spares hold a model
//	expect MODEL N        so many whole groups are open
//	within DURATION MODEL N   so many are open before the time is over
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { script(t, f) })
	}
}

func script(t *testing.T, name string) {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer f.Close()
	w := newWorld()
	n := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		n++
		line, _, _ := strings.Cut(s.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			command(t, w, n, words)
		}
	}
	assert.Empty(t, w.faults)
}

func command(t *testing.T, w *world, line int, words []string) {
	rest := strings.Join(words[1:], " ")
	switch words[0] {
	case "sizes":
		w.engine.Models[0].GroupSize, w.engine.Models[1].GroupSize = number(t, words[1]), number(t, words[2])
	case "staged":
		assert.Equal(t, number(t, words[1]), w.stagedSpares(strings.Join(words[2:], "")), "line %d: staged spares", line)
	case "add":
		w.add(words[1], number(t, words[2]))
	case "busy":
		w.busy = true
	case "run":
		w.run(duration(t, words[1]))
	case "kill", "cut", "drain", "unlist":
		h := w.find(rest)
		require.NotNil(t, h, "line %d: no %s", line, rest)
		h.dead, h.cut, h.Draining, h.unlisted = words[0] == "kill", words[0] == "cut", words[0] == "drain", words[0] == "unlist"
	case "dark":
		for _, h := range w.hosts {
			h.cut = true
		}
	case "heal":
		for _, h := range w.hosts {
			h.cut = false
		}
	case "term":
		w.term = uint64(number(t, words[1]))
	case "lose":
		w.lose, w.late = true, duration(t, words[1])
	case "keep":
		w.lose = false
	case "expect":
		assert.Equal(t, number(t, words[2]), w.open(words[1]), "line %d: open groups of %s", line, words[1])
	case "within":
		end := w.now.Add(duration(t, words[1]))
		// What came just before must have shown.
		w.run(_step)
		for w.now.Before(end) && w.open(words[2]) != number(t, words[3]) {
			w.run(_step)
		}
		assert.Equal(t, number(t, words[3]), w.open(words[2]), "line %d: open groups of %s", line, words[2])
	default:
		t.Fatalf("line %d: unknown command %s", line, words[0])
	}
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}
