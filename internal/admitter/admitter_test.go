package admitter_test

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
)

// mode is who decides on a request.
type mode int

const (
	firstCome mode = iota
	byLimit
	byAll // what all processes have under way is known, as of a moment ago
)

// play runs a wave of load on places that processes share, and returns the parts
// of the requests that began in time and that were served at all. Without
// admitters, whoever comes waits in line.
func play(how mode, processes int) (inTime, served float64) {
	withAdmitters := how != firstCome
	const (
		slots = 130
		// Callers wait so long for a first event before they give up.
		patience = 2 * time.Second
		// Loads are told so often, and are so old then.
		round   = 200 * time.Millisecond
		lag     = 150 * time.Millisecond
		work    = 1200 * time.Millisecond
		base    = 150 * time.Millisecond
		target  = 250 * time.Millisecond
		timeout = 6 * time.Second
		length  = 60 * time.Second
		tick    = 5 * time.Millisecond
	)
	type job struct {
		came, back time.Duration
		process    int
		tries      int
	}
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]admitter.Admitter, processes)
	// Two processes get more callers than the others.
	parts := make([]float64, processes)
	for i := range parts {
		parts[i] = 1 / float64(processes+2)
		if i < 2 {
			parts[i] *= 2
		}
	}
	places := func(i int) admitter.Capacity { return admitter.Capacity{Slots: slots, CallerShare: parts[i]} }
	var line, away []job
	var ends []time.Duration
	ending := make(map[time.Duration][]int)
	asked, good, done := 0, 0, 0
	var crowd admitter.TotalLoad
	told := make(map[time.Duration]admitter.TotalLoad)
	came, over := 0, 0
	epoch := time.Unix(1_800_000_000, 0)
	for now := time.Duration(0); now < length; now += tick {
		// The crest asks for a third more than the places can carry.
		rate := 95 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
		var arriving []job
		if random.Float64() < rate*tick.Seconds() {
			asked++
			arriving = append(arriving, job{came: now, process: max(0, random.IntN(processes+2)-2)})
			if random.Float64() < 0.5 && arriving[0].process == 0 {
				arriving[0].process = 1
			}
		}
		sort.SliceStable(away, func(i, j int) bool { return away[i].back < away[j].back })
		for len(away) > 0 && away[0].back <= now {
			away[0].process = random.IntN(processes)
			arriving, away = append(arriving, away[0]), away[1:]
		}
		for _, j := range arriving {
			left := timeout - (now - j.came)
			came++
			admitted := true
			switch how {
			case firstCome:
			case byLimit:
				admitted = list[j.process].Admit(places(j.process), left, timeout).Admitted
			case byAll:
				admitted = list[j.process].AdmitByTotalLoad(admitter.Capacity{Slots: slots}, crowd, j.tries > 0).Admitted
			}
			if !admitted {
				if j.tries++; j.tries <= 1 {
					j.back = now + admitter.RetryAfter(left, random.Float64())
					away = append(away, j)
				}
				continue
			}
			j.back = now
			line = append(line, j)
		}
		over += len(ending[now])
		if now%round == 0 {
			late := 0
			for _, j := range line {
				late += j.tries
			}
			told[now+lag] = admitter.TotalLoad{InFlight: float64(len(line) + len(ends) - late), ReturningWaiting: float64(late), ArrivalRate: float64(came) / round.Seconds(), CompletionRate: float64(over) / round.Seconds(), MeanDuration: work}
			came, over = 0, 0
		}
		if c, ok := told[now]; ok {
			crowd = c
		}
		for _, p := range ending[now] {
			if withAdmitters {
				list[p].Done()
			}
		}
		n := 0
		for _, e := range ends {
			if e > now {
				ends[n] = e
				n++
			}
		}
		ends = ends[:n]
		if how == byAll {
			// Those that came back wait behind the others.
			sort.SliceStable(line, func(i, j int) bool { return line[i].tries < line[j].tries })
		}
		for len(line) > 0 && len(ends) < slots {
			j := line[0]
			line = line[1:]
			if now+base-j.back > patience {
				if withAdmitters {
					list[j.process].Done()
				}
				continue
			}
			over := now + work
			ends = append(ends, over)
			ending[over] = append(ending[over], j.process)
			if now-j.came < timeout {
				done++
			}
			if now+base-j.came <= target {
				good++
			}
			if withAdmitters {
				list[j.process].ObserveFirstEvent(epoch.Add(now), places(j.process), now+base-j.back, target)
			}
		}
	}
	return float64(good) / float64(asked), float64(done) / float64(asked)
}

// At the crest most callers are served in time, and those that are refused
// nearly all get a place when they come back. It helps to know what all processes
// have under way, the more so the more of them share the places.
func TestCrest(t *testing.T) {
	firstComeInTime, firstComeServed := play(firstCome, 7)
	t.Logf("first come, first served: in time %.3f, served %.3f", firstComeInTime, firstComeServed)
	for _, processes := range []int{7, 77} {
		limitInTime, limitServed := play(byLimit, processes)
		inTime, served := play(byAll, processes)
		t.Logf("%d processes: in time %.3f, served %.3f by their own limits, %.3f, %.3f by all loads", processes, limitInTime, limitServed, inTime, served)
		assert.Greater(t, limitInTime, firstComeInTime)
		assert.Greater(t, inTime, limitInTime)
		assert.Greater(t, served, 0.9)
		assert.Greater(t, limitServed, 0.9)
	}
}

func TestAdmit(t *testing.T) {
	var a admitter.Admitter
	p := admitter.Capacity{Slots: 14, CallerShare: 1.0 / 7}
	for range 5 {
		assert.True(t, a.Admit(p, 6*time.Second, 6*time.Second).Admitted)
	}
	assert.False(t, a.Admit(p, 6*time.Second, 6*time.Second).Admitted)
	assert.True(t, a.Admit(p, 5*time.Second, 6*time.Second).Admitted, "one that was refused before goes further")
	assert.False(t, a.Admit(p, 5*time.Second, 6*time.Second).Admitted)
	a.Done()
	a.Done()
	assert.True(t, a.Admit(p, 6*time.Second, 6*time.Second).Admitted)
}

// While requests pour in and none has ended yet, the places that are free are
// given out.
func TestAdmitPartAtFirst(t *testing.T) {
	var a admitter.Admitter
	c := admitter.TotalLoad{InFlight: 18, ArrivalRate: 50, CompletionRate: 4, MeanDuration: 500 * time.Millisecond}
	n := 0
	for range 20 {
		if a.AdmitByTotalLoad(admitter.Capacity{Slots: 26}, c, false).Admitted {
			n++
		}
	}
	assert.GreaterOrEqual(t, n, 19)
}

func TestComeBack(t *testing.T) {
	for left := time.Duration(0); left < 20*time.Second; left += 50 * time.Millisecond {
		for _, draw := range []float64{0, 0.5, 0.999} {
			after := admitter.RetryAfter(left, draw)
			assert.GreaterOrEqual(t, after, time.Duration(0))
			assert.LessOrEqual(t, after, left/3)
		}
	}
}
