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

	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// TestScripts runs the scripts in testdata in a simulation, and checks that no
// invariant is violated. Each line of a script is a command, and # starts a comment.
// simulation.find explains SELECTOR.
//
//	sizes LARGE SMALL     set the group size of each model
//	shares LARGE SMALL    set the share of the load of each model
//	add DOMAIN N          add N upstreams without a model; a data centre may precede the
//	                      domain's name, with a slash
//	busy                  callers begin to send requests
//	run DURATION          advance the time
//	kill SELECTOR         an upstream is lost for good
//	crash DURATION SELECTOR   an upstream crashes, and runs again after DURATION
//	dark                  no upstream can be reached
//	cut SELECTOR          an upstream that still runs can't be reached
//	heal                  all upstreams can be reached again
//	unlist SELECTOR       the platform's list lacks an upstream that still runs
//	drain SELECTOR        an upstream is about to leave
//	term N                another process holds the lease, in term N
//	lose DURATION         orders get no answer, and are carried out after DURATION
//	keep                  orders are answered again
//	staged N [MODEL]      check that N spares have staged MODEL, or any model
//	expect MODEL N [DC]   check that N complete groups of MODEL are open, in data centre DC or in all
//	within DURATION MODEL N   check that N such groups open within DURATION
//	census DC MODEL OPEN FORMING STAGED FREE   check the counts of a model in a data centre
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer f.Close()
	s := newSimulation()
	n := 0
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		n++
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			runCommand(t, s, n, words)
		}
	}
	assert.Empty(t, s.violations)
}

func runCommand(t *testing.T, s *simulation, line int, words []string) {
	rest := strings.Join(words[1:], " ")
	switch words[0] {
	case "sizes":
		s.engine.Models[0].GroupSize, s.engine.Models[1].GroupSize = parseNumber(t, words[1]), parseNumber(t, words[2])
	case "shares":
		s.engine.Models[0].InitialShare, s.engine.Models[1].InitialShare = parseFloat(t, words[1]), parseFloat(t, words[2])
	case "staged":
		assert.Equal(t, parseNumber(t, words[1]), s.stagedSpares(strings.Join(words[2:], "")), "line %d: staged spares", line)
	case "add":
		s.add(words[1], parseNumber(t, words[2]))
	case "busy":
		s.trafficStarted = true
	case "run":
		s.run(parseDuration(t, words[1]))
	case "kill", "cut", "drain", "unlist":
		u := s.find(rest)
		require.NotNil(t, u, "line %d: no %s", line, rest)
		u.dead, u.unreachable, u.Draining, u.unlisted = words[0] == "kill", words[0] == "cut", words[0] == "drain", words[0] == "unlist"
	case "crash":
		u := s.find(strings.Join(words[2:], " "))
		require.NotNil(t, u, "line %d: no %s", line, rest)
		s.crash(u, parseDuration(t, words[1]))
	case "dark":
		for _, u := range s.upstreams {
			u.unreachable = true
		}
	case "heal":
		for _, u := range s.upstreams {
			u.unreachable = false
		}
	case "term":
		s.term = uint64(parseNumber(t, words[1]))
	case "lose":
		s.loseAnswers, s.executionDelay = true, parseDuration(t, words[1])
	case "keep":
		s.loseAnswers = false
	case "expect":
		dataCentre := strings.Join(words[3:], "")
		assert.Equal(t, parseNumber(t, words[2]), s.openGroups(words[1], dataCentre), "line %d: open groups of %s %s", line, words[1], dataCentre)
	case "within":
		end := s.now.Add(parseDuration(t, words[1]))
		// The first step makes the effect of the previous command visible.
		s.run(_step)
		for s.now.Before(end) && s.openGroups(words[2], "") != parseNumber(t, words[3]) {
			s.run(_step)
		}
		assert.Equal(t, parseNumber(t, words[3]), s.openGroups(words[2], ""), "line %d: open groups of %s", line, words[2])
	case "census":
		expected := grouper.ModelCount{
			DataCentre: words[1], Model: words[2], Open: parseNumber(t, words[3]), Forming: parseNumber(t, words[4]),
			StagedSpares: parseNumber(t, words[5]), Free: parseNumber(t, words[6]),
		}
		assert.Contains(t, s.grouper.Census(), expected, "line %d", line)
	default:
		t.Fatalf("line %d: unknown command %s", line, words[0])
	}
}

func parseNumber(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func parseFloat(t *testing.T, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return x
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}
