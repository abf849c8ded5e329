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
	// The seed and the number of runs are fixed unless they are given.
	for name, value := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "30"}} {
		if f := flag.Lookup(name); f.Value.String() == value[0] {
			_ = f.Value.Set(value[1])
		}
	}
	os.Exit(m.Run())
}

// machine runs several processes before one store whose answers get lost, and
// compares what they say with what was said before.
type machine struct {
	store     *standin.Store
	processes []*configurer.Configurer
	numbers   []uint64          // the highest number seen in each process
	documents map[uint64]string // the one document of each number
	accepted  map[string]uint64 // the number of each accepted patch id
	sent      []configurer.Patch
	next      int
}

func newMachine() *machine {
	m := &machine{store: standin.NewStore(), documents: make(map[uint64]string), accepted: make(map[string]uint64)}
	for range 3 {
		m.processes = append(m.processes, process(m.store))
		m.numbers = append(m.numbers, 0)
	}
	return m
}

func (m *machine) pick(t *rapid.T) *configurer.Configurer {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

func (m *machine) losses(t *rapid.T) []standin.Loss {
	return rapid.SliceOfN(rapid.SampledFrom([]standin.Loss{
		standin.LossNone, standin.LossApplied, standin.LossDropped, standin.LossThrottle,
	}), 0, 6).Draw(t, "losses")
}

func (m *machine) send(t *rapid.T, c *configurer.Configurer, p configurer.Patch) {
	m.store.Lose(m.losses(t)...)
	x, err := c.Patch(context.Background(), p)
	m.store.Lose()
	if err != nil {
		if n, ok := m.accepted[p.ID]; ok && errors.Is(err, configurer.ErrBaseMismatch) {
			t.Fatalf("patch %s was accepted as %d and is refused now: %v", p.ID, n, err)
		}
		return
	}
	if n, ok := m.accepted[p.ID]; ok && n != x.GetNumber() {
		t.Fatalf("patch %s was applied as %d and as %d", p.ID, n, x.GetNumber())
	}
	m.accepted[p.ID] = x.GetNumber()
}

// Patch sends a new patch, now and then with an old base.
func (m *machine) Patch(t *rapid.T) {
	c := m.pick(t)
	base := c.Current().Number()
	if base > 0 && rapid.IntRange(0, 4).Draw(t, "old") == 0 {
		base--
	}
	m.next++
	p := change(fmt.Sprintf("p%d", m.next), base, m.next)
	m.sent = append(m.sent, p)
	m.send(t, c, p)
}

// Repeat sends an earlier patch again, with its own base or the current one.
func (m *machine) Repeat(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing was sent")
	}
	p := rapid.SampledFrom(m.sent).Draw(t, "patch")
	c := m.pick(t)
	if rapid.Bool().Draw(t, "rebased") {
		p.Base = c.Current().Number()
	}
	m.send(t, c, p)
}

// ApplyRecord passes one process's configuration to another.
func (m *machine) ApplyRecord(t *rapid.T) {
	from, to := m.pick(t), m.pick(t)
	if r := from.Current().Record(); r != nil {
		to.ApplyRecord(r, "peer")
	}
}

// ApplyChanges passes the changes of one process to another, some of them missing.
func (m *machine) ApplyChanges(t *rapid.T) {
	from, to := m.pick(t), m.pick(t)
	recent := from.Current().Record().GetRecent()
	first := rapid.IntRange(0, len(recent)).Draw(t, "first")
	inForce := to.ApplyChanges(recent[first:], "peer")
	if n := len(recent); n > first && inForce && to.Current().Number() < recent[n-1].GetNumber() {
		t.Fatalf("changes up to %d were taken for applied at number %d", recent[n-1].GetNumber(), to.Current().Number())
	}
}

// Stale makes the platform answer with an older state, or not any more.
func (m *machine) Stale(t *rapid.T) { m.store.SetStale(rapid.IntRange(0, 3).Draw(t, "stale") == 0) }

// Check compares each process with its past and with the others.
func (m *machine) Check(t *rapid.T) {
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
			t.Fatalf("number %d has two documents", s.Number())
		}
		m.documents[s.Number()] = s.Record().GetDocument()
	}
}

// finish compares the whole history with what was accepted.
func (m *machine) finish(t *rapid.T) {
	m.store.SetStale(false)
	m.store.Lose()
	last, err := m.processes[0].Patch(context.Background(), change("last", m.latest(t), 1))
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

// latest reads the newest number through a process that knows nothing.
func (m *machine) latest(t *rapid.T) uint64 {
	_, err := process(m.store).Patch(context.Background(), change("probe", 1<<40, 1))
	var conflict *configurer.ConflictError
	require.ErrorAs(t, err, &conflict)
	return conflict.Current
}

// No process ever goes back, no patch is applied twice, and none that was
// accepted vanishes, whatever answers get lost.
func TestNumbersNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A bubble has no deadline to ask for, so only the rest of t is shown.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := newMachine()
			actions := rapid.StateMachineActions(m)
			// Enough changes that some are archived.
			for range rapid.SampledFrom([]int{0, 48, 60}).Draw(t, "earlier") {
				m.next++
				c := m.processes[0]
				p := change(fmt.Sprintf("p%d", m.next), c.Current().Number(), m.next)
				m.sent = append(m.sent, p)
				x, err := c.Patch(context.Background(), p)
				require.NoError(t, err)
				m.accepted[p.ID] = x.GetNumber()
			}
			t.Repeat(actions)
			m.finish(t)
		})
	})
}
