package grouper_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever becomes of upstreams and orders, no group opens without its members,
// none is taken from an open one, and loads stay within their rate.
func TestRandomTroubles(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "30"))
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.add("a", 11)
		w.add("b", 11)
		w.run(9500 * time.Millisecond)
		w.busy = true
		whats := []string{"head large", "member large", "head small", "member small", "spare"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			h := w.find(rapid.SampledFrom(whats).Draw(t, "what"))
			switch rapid.IntRange(0, 8).Draw(t, "trouble") {
			case 0, 1:
				if h != nil {
					h.dead = true
				}
			case 2:
				if h != nil {
					h.cut = true
				}
			case 3:
				if h != nil {
					h.Draining = true
				}
			case 4:
				if h != nil {
					h.unlisted = true
				}
			case 5:
				w.lose, w.late = !w.lose, 3*time.Second
			case 6:
				w.term++
			case 7:
				for _, x := range w.hosts {
					x.cut, x.unlisted = false, false
				}
			case 8:
				w.add("a", 1)
			}
			w.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		w.lose = false
		w.run(5 * time.Second)
		if len(w.faults) > 0 {
			t.Fatal(w.faults)
		}
	})
}
