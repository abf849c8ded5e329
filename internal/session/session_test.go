package session_test

import (
	"flag"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

var _update = flag.Bool("update", false, "rewrite the expected text in the session scripts")

// bubbleT is a testscript.T that runs each script in a synctest bubble of its own.
type bubbleT struct {
	*testing.T
}

// Run runs one script as a subtest in its own bubble.
func (b bubbleT) Run(name string, f func(testscript.T)) {
	b.T.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(bubbleT{t}) })
	})
}

// Parallel does nothing, because synctest forbids parallel tests inside a bubble.
func (bubbleT) Parallel() {}

// Verbose reports whether testscript prints the log of scripts that pass.
func (bubbleT) Verbose() bool { return testing.Verbose() }

func TestSessions(t *testing.T) {
	testscript.RunT(bubbleT{t}, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *_update,
		Cmds:          commands(),
		Setup: func(e *testscript.Env) error {
			d := newDeployment()
			e.Values[deploymentKey{}] = d
			e.Defer(d.close)
			return nil
		},
	})
}
