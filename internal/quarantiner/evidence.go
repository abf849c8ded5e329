package quarantiner

import (
	"maps"
	"time"
)

// Life is an upstream as the head of a group, from the group's forming to its end: an
// upstream crashes once in a life.
type Life struct {
	Upstream string
	Epoch    uint64
}

// Crash is what processes saw of the end of a life, or of responses that broke off in it.
type Crash struct {
	// Series numbers the breaks of a life: where a response breaks off after the upstream has
	// survived earlier ones, a new series begins, and the earlier ones no longer count.
	Series int
	// Broken is the number of responses that broke off.
	Broken int
	// Ended is true if the upstream refused a connection afterwards, or started again.
	Ended bool
	// Survived is true if the upstream sent output, in the same life, for a request that was
	// sent afterwards. So it did not crash: only responses broke off.
	Survived bool
	// Suspects are the parts of the requests that waited for their first output.
	Suspects map[Part]bool
}

// isConfirmed reports whether the upstream itself ended, and not only one response.
func (c Crash) isConfirmed() bool { return !c.Survived && (c.Ended || c.Broken > 1) }

// Evidence is what one or more processes tell others.
type Evidence struct {
	Crashes map[Life]Crash
	// Cleared are parts for which an upstream has generated output. Only suspects of
	// several crashes are listed.
	Cleared map[Part]bool
	// Quarantined holds the time for which each quarantine lasts. It is of the prompts that
	// have all parts of the combination.
	Quarantined map[Combination]time.Duration
}

// Add adds evidence that was received the given time ago.
func (e *Evidence) Add(other Evidence, age time.Duration) {
	for life, c := range other.Crashes {
		if e.Crashes == nil {
			e.Crashes = make(map[Life]Crash)
		}
		sum, known := e.Crashes[life]
		switch {
		case !known || c.Series > sum.Series:
			sum = Crash{Series: c.Series}
		case c.Series < sum.Series:
			continue
		}
		suspects := maps.Clone(sum.Suspects)
		if suspects == nil {
			suspects = make(map[Part]bool)
		}
		maps.Copy(suspects, c.Suspects)
		e.Crashes[life] = Crash{
			Series: sum.Series, Broken: sum.Broken + c.Broken, Ended: sum.Ended || c.Ended, Survived: sum.Survived || c.Survived, Suspects: suspects,
		}
	}
	for p := range other.Cleared {
		if e.Cleared == nil {
			e.Cleared = make(map[Part]bool)
		}
		e.Cleared[p] = true
	}
	for c, left := range other.Quarantined {
		if e.Quarantined == nil {
			e.Quarantined = make(map[Combination]time.Duration)
		}
		e.Quarantined[c] = max(e.Quarantined[c], left-age)
	}
}
