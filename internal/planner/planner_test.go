package planner_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var _update = flag.Bool("update", false, "rewrite the expected decisions")

// TestScripts runs each script of testdata and compares the decisions with those in
// the archive's second file. A line of a script is "SECONDS command arguments"; a
// last line with the command "end" lets the time pass until then.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			require.NoError(t, err)
			require.Len(t, a.Files, 2)
			s := newSimulation()
			s.runScript(t, string(a.Files[0].Data))
			got := s.decisions.String()
			if *_update {
				a.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(path, txtar.Format(a), 0o644))
			}
			assert.Equal(t, string(a.Files[1].Data), got)
		})
	}
}

// runScript runs a script. All commands of one time take effect before the decision
// at that time.
func (s *simulation) runScript(t *testing.T, script string) {
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		for at := s.start.Add(seconds(words[0])); s.now.Before(at); {
			s.step(t)
		}
		if words[1] != "end" {
			require.NoError(t, s.runCommand(words[1], words[2:]...), line)
		}
	}
}
