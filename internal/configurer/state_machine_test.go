package configurer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Fixes the seed at 1 and the number of runs at 30 unless flags set them: a
	// flag at its default (0 and 100) counts as not set.
	for name, value := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "30"}} {
		if f := flag.Lookup(name); f.Value.String() == value[0] {
			_ = f.Value.Set(value[1])
		}
	}
	os.Exit(m.Run())
}

// stateMachine runs several processes on one store that loses writes and responses,
// and compares the results with earlier ones. Rapid calls the exported methods in
// random order, and Check after each. It selects a method by its position in the
// order of names, so a rename that changes the order changes what a seed does.
type stateMachine struct {
	store     *standin.Store
	processes []*configurer.Configurer
	numbers   []uint64          // the highest number seen in each process
	documents map[uint64]string // the document of each number; every process must have the same
	accepted  map[string]uint64 // the number of each accepted patch id
	sent      []configurer.Patch
	sequence  int // number in the newest patch id
}

func newStateMachine() *stateMachine {
	m := &stateMachine{store: standin.NewStore(), documents: make(map[uint64]string), accepted: make(map[string]uint64)}
	for range 3 {
		m.processes = append(m.processes, newConfigurer(m.store))
		m.numbers = append(m.numbers, 0)
	}
	return m
}

func (m *stateMachine) drawProcess(t *rapid.T) *configurer.Configurer {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

func (m *stateMachine) drawWriteFaults(t *rapid.T) []standin.WriteFault {
	return rapid.SliceOfN(rapid.SampledFrom([]standin.WriteFault{
		standin.WriteFaultNone, standin.WriteFaultResponseLost, standin.WriteFaultRequestLost, standin.WriteFaultThrottled,
	}), 0, 6).Draw(t, "losses")
}

// send sends a patch while the store loses some writes and responses, and checks
// the result against an earlier one for the same patch id.
func (m *stateMachine) send(t *rapid.T, c *configurer.Configurer, p configurer.Patch) {
	m.store.SetWriteFaults(m.drawWriteFaults(t)...)
	x, err := c.Patch(context.Background(), p)
	m.store.SetWriteFaults()
	if err != nil {
		if n, ok := m.accepted[p.ID]; ok && errors.Is(err, configurer.ErrBaseMismatch) {
			t.Fatalf("patch %s was accepted as number %d and is refused now: %v", p.ID, n, err)
		}
		return
	}
	if n, ok := m.accepted[p.ID]; ok && n != x.GetNumber() {
		t.Fatalf("patch %s was applied as number %d and as number %d", p.ID, n, x.GetNumber())
	}
	m.accepted[p.ID] = x.GetNumber()
}

// Patch sends a new patch, sometimes with an outdated base.
func (m *stateMachine) Patch(t *rapid.T) {
	c := m.drawProcess(t)
	base := c.Current().Number()
	if base > 0 && rapid.IntRange(0, 4).Draw(t, "outdated") == 0 {
		base--
	}
	m.sequence++
	p := queuePatch(fmt.Sprintf("p%d", m.sequence), base, m.sequence)
	m.sent = append(m.sent, p)
	m.send(t, c, p)
}

// Repeat sends an earlier patch again, with its original base or the current one.
func (m *stateMachine) Repeat(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no patch was sent yet")
	}
	p := rapid.SampledFrom(m.sent).Draw(t, "patch")
	c := m.drawProcess(t)
	if rapid.Bool().Draw(t, "rebased") {
		p.Base = c.Current().Number()
	}
	m.send(t, c, p)
}

// ApplyRecord passes the record of one process to another, as peers do.
func (m *stateMachine) ApplyRecord(t *rapid.T) {
	from, to := m.drawProcess(t), m.drawProcess(t)
	if r := from.Current().Record(); r != nil {
		to.ApplyRecord(r, "peer")
	}
}

// ApplyChanges passes the recent changes of one process to another, without a
// random number of the oldest.
func (m *stateMachine) ApplyChanges(t *rapid.T) {
	from, to := m.drawProcess(t), m.drawProcess(t)
	recent := from.Current().Record().GetRecent()
	first := rapid.IntRange(0, len(recent)).Draw(t, "first")
	inForce := to.ApplyChanges(recent[first:], "peer")
	if n := len(recent); n > first && inForce && to.Current().Number() < recent[n-1].GetNumber() {
		t.Fatalf("changes up to %d were reported as applied, but number %d is in force", recent[n-1].GetNumber(), to.Current().Number())
	}
}

// Stale makes the platform answer reads with an older state or, again, with the
// newest.
func (m *stateMachine) Stale(t *rapid.T) {
	m.store.SetStale(rapid.IntRange(0, 3).Draw(t, "stale") == 0)
}

// Check checks that the number of each process never decreases, and that all
// processes have the same document for a number.
func (m *stateMachine) Check(t *rapid.T) {
	for i, c := range m.processes {
		s := c.Current()
		if s.Number() < m.numbers[i] {
			t.Fatalf("process %d went back from number %d to %d", i, m.numbers[i], s.Number())
		}
		m.numbers[i] = s.Number()
		if s.Number() == 0 {
			continue
		}
		if d, ok := m.documents[s.Number()]; ok && d != s.Record().GetDocument() {
			t.Fatalf("number %d has two different documents", s.Number())
		}
		m.documents[s.Number()] = s.Record().GetDocument()
	}
}

// checkHistory checks that the history has no gap, holds no patch id twice, and
// holds every accepted patch under its number.
func (m *stateMachine) checkHistory(t *rapid.T) {
	m.store.SetStale(false)
	m.store.SetWriteFaults()
	last, err := m.processes[0].Patch(context.Background(), queuePatch("last", m.currentNumber(t), 1))
	require.NoError(t, err)
	ids := make(map[string]uint64)
	var changes []*wire.ConfigurationChange
	for after := uint64(0); after < last.GetNumber(); after = changes[len(changes)-1].GetNumber() {
		changes, err = m.processes[0].History(context.Background(), after)
		require.NoError(t, err)
		require.NotEmpty(t, changes)
		for i, x := range changes {
			require.Equal(t, after+uint64(i)+1, x.GetNumber(), "the history has a gap")
			require.Zero(t, ids[x.GetPatchId()], "patch %s is twice in the history", x.GetPatchId())
			ids[x.GetPatchId()] = x.GetNumber()
		}
	}
	for id, n := range m.accepted {
		require.Equal(t, n, ids[id], "accepted patch %s is not in the history", id)
	}
}

// currentNumber returns the stored configuration's number. It sends a patch with
// a base that can't match, so that the conflict carries the number, and uses a new
// process, which has no number of its own yet.
func (m *stateMachine) currentNumber(t *rapid.T) uint64 {
	_, err := newConfigurer(m.store).Patch(context.Background(), queuePatch("probe", 1<<40, 1))
	var conflict *configurer.ConflictError
	require.ErrorAs(t, err, &conflict)
	return conflict.Current
}

// TestNumbersNeverDecrease checks, while writes and responses are lost at random, that
// the number of a process never decreases, no patch is applied twice, and no
// accepted patch is missing from the history.
func TestNumbersNeverDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Inside a synctest bubble t.Deadline panics; the wrapper hides it from
		// rapid.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := newStateMachine()
			actions := rapid.StateMachineActions(m)
			// A record holds 50 changes; a start near or past that makes sure that
			// some are archived.
			for range rapid.SampledFrom([]int{0, 48, 60}).Draw(t, "earlier") {
				m.sequence++
				c := m.processes[0]
				p := queuePatch(fmt.Sprintf("p%d", m.sequence), c.Current().Number(), m.sequence)
				m.sent = append(m.sent, p)
				x, err := c.Patch(context.Background(), p)
				require.NoError(t, err)
				m.accepted[p.ID] = x.GetNumber()
			}
			t.Repeat(actions)
			m.checkHistory(t)
		})
	})
}
