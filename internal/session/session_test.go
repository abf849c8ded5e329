package session_test

import (
	"flag"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

var _update = flag.Bool("update", false, "rewrite the expected files of the sessions")

// bubbled runs each script in a synctest bubble of its own.
type bubbled struct {
	*testing.T
}

// Run runs one script.
func (b bubbled) Run(name string, f func(testscript.T)) {
	b.T.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(bubbled{t}) })
	})
}

// Parallel does nothing: a bubble can't run beside others.
func (bubbled) Parallel() {}

// Verbose says whether to print the scripts' progress.
func (bubbled) Verbose() bool { return testing.Verbose() }

func TestSessions(t *testing.T) {
	testscript.RunT(bubbled{t}, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *_update,
		Cmds:          commands(),
		Setup: func(e *testscript.Env) error {
			w := newWorld()
			e.Values[worldKey{}] = w
			e.Defer(w.close)
			return nil
		},
	})
}
