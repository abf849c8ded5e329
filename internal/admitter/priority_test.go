package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
)

// kind is a kind of request in simulatePriorities.
type kind struct {
	priority int
	duration time.Duration
	// rate returns the requests per second of all processes at a time.
	rate func(now time.Duration) float64
}

// outcome is what the callers of a kind got.
type outcome struct {
	sent, admitted int
}

// simulatePriorities sends requests of several kinds to processes that share slots. Each
// knows the load of all, which is up to loadAge old.
func simulatePriorities(kinds []kind, processes, slots int, loadAge time.Duration, known func(*admitter.TotalLoad)) []outcome {
	const (
		length           = 30 * time.Second
		tick             = 5 * time.Millisecond
		exchangeInterval = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	admitters := make([]admitter.Admitter, processes)
	out := make([]outcome, len(kinds))
	type running struct {
		end  time.Duration
		kind int
	}
	var inFlight []running
	rates := make([]float64, len(kinds))
	completions := 0.0
	decay := func(rate *float64, constant time.Duration) { *rate -= *rate * tick.Seconds() / constant.Seconds() }
	var load admitter.TotalLoad
	exchanged := make(map[time.Duration]admitter.TotalLoad)
	for now := time.Duration(0); now < length; now += tick {
		n := 0
		for _, r := range inFlight {
			if r.end > now {
				inFlight[n] = r
				n++
			} else {
				completions++
			}
		}
		inFlight = inFlight[:n]
		decay(&completions, time.Second)
		for i, k := range kinds {
			decay(&rates[i], time.Second)
			for arriving := k.rate(now) * tick.Seconds(); arriving > 0; arriving-- {
				if random.Float64() >= arriving {
					continue
				}
				rates[i]++
				out[i].sent++
				if !admitters[random.IntN(processes)].AdmitByTotalLoad(admitter.Capacity{Slots: slots}, load, k.priority, false).Admitted {
					continue
				}
				out[i].admitted++
				inFlight = append(inFlight, running{now + k.duration, i})
			}
		}
		if now%exchangeInterval == 0 {
			l := admitter.TotalLoad{InFlight: float64(len(inFlight)), CompletionRate: completions}
			work := 0.0
			for i, k := range kinds {
				l.ArrivalRate += rates[i]
				l.Offered[k.priority] += rates[i] * k.duration.Seconds()
				work += rates[i] * k.duration.Seconds()
			}
			l.MeanDuration = time.Duration(work / max(l.ArrivalRate, 1) * float64(time.Second))
			known(&l)
			exchanged[now+loadAge] = l
		}
		if l, ok := exchanged[now]; ok {
			load = l
		}
	}
	return out
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (o outcome) admittedPart() float64 { return float64(o.admitted) / float64(max(o.sent, 1)) }

// Where callers of two priorities ask for more than the slots, the urgent are admitted, the
// others get what is left and never nothing, with few and many processes and old loads. The
// same processes without word of priorities, as before, admit both alike.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	const (
		urgentLeast = 0.5 // of the urgent requests are served in any overload of these
		floor       = 0.5 // of what the others get without priorities
	)
	for _, tc := range []struct {
		name          string
		urgent, other kind
	}{
		{
			name: "steady", urgent: kind{0, time.Second, steady(80)}, other: kind{2, time.Second, steady(100)},
		},
		{
			name: "few urgent requests", urgent: kind{0, time.Second, steady(5)}, other: kind{2, time.Second, steady(180)},
		},
		{
			name: "short urgent requests beside long ones", urgent: kind{0, 200 * time.Millisecond, steady(200)}, other: kind{2, 2 * time.Second, steady(70)},
		},
		{
			name:   "bursts by turns",
			urgent: kind{0, time.Second, func(now time.Duration) float64 { return 50 + 50*float64(int(now.Seconds()/3)%2) }},
			other:  kind{2, time.Second, func(now time.Duration) float64 { return 150 - 100*float64(int(now.Seconds()/3)%2) }},
		},
	} {
		for _, processes := range []int{7, 90} {
			for _, age := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
				out := simulatePriorities([]kind{tc.urgent, tc.other}, processes, 130, age, func(*admitter.TotalLoad) {})
				before := simulatePriorities([]kind{tc.urgent, tc.other}, processes, 130, age, func(l *admitter.TotalLoad) { l.Offered = prioritiser.Demand{} })
				t.Logf("%s, %d processes, loads %s old: admitted %.2f of the urgent, %.2f of the others; %.2f, %.2f without priorities",
					tc.name, processes, age, out[0].admittedPart(), out[1].admittedPart(), before[0].admittedPart(), before[1].admittedPart())
				assert.GreaterOrEqual(t, out[0].admittedPart(), urgentLeast, tc.name)
				assert.GreaterOrEqual(t, out[0].admittedPart(), out[1].admittedPart(), tc.name)
				assert.Greater(t, out[0].admittedPart(), before[0].admittedPart(), tc.name)
				assert.GreaterOrEqual(t, out[1].admittedPart(), floor*before[1].admittedPart(), tc.name)
			}
		}
	}
}
