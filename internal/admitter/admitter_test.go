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

// policy is how a request is admitted.
type policy int

const (
	admitAll    policy = iota // every request waits in the queue
	byLimit                   // by the limit of each process
	byTotalLoad               // by the load of all processes, as of the latest exchange
)

// simulate sends requests at a rate that follows a sine wave to slots that several
// processes share. It returns the fraction of the requests whose first event came
// within the latency target, and the fraction that was served at all.
func simulate(admission policy, processes int) (inTime, served float64) {
	withAdmitters := admission != admitAll
	const (
		slots = 130
		// callerTimeout is how long callers wait for a first event before they give up.
		callerTimeout = 2 * time.Second
		// Processes exchange their loads once per exchangeInterval, and learn the result
		// after exchangeDelay.
		exchangeInterval = 200 * time.Millisecond
		exchangeDelay    = 150 * time.Millisecond
		// A request runs for duration. Its first event comes firstEventDelay after it
		// gets a slot.
		duration        = 1200 * time.Millisecond
		firstEventDelay = 150 * time.Millisecond
		target          = 250 * time.Millisecond
		timeout         = 6 * time.Second
		length          = 60 * time.Second
		tick            = 5 * time.Millisecond
	)
	type request struct {
		// firstSentAt is when the caller first sends the request, and sentAt is when it
		// sends the latest attempt.
		firstSentAt, sentAt time.Duration
		process             int
		refusals            int
	}
	random := rand.New(rand.NewPCG(1, 2))
	admitters := make([]admitter.Admitter, processes)
	// Two processes get twice as many callers as the others.
	shares := make([]float64, processes)
	for i := range shares {
		shares[i] = 1 / float64(processes+2)
		if i < 2 {
			shares[i] *= 2
		}
	}
	capacity := func(i int) admitter.Capacity { return admitter.Capacity{Slots: slots, CallerShare: shares[i]} }
	var queue, refused []request
	var runningUntil []time.Duration
	processesByEnd := make(map[time.Duration][]int)
	sent, onTime, completed := 0, 0, 0
	var totalLoad admitter.TotalLoad
	exchanged := make(map[time.Duration]admitter.TotalLoad)
	arrivals, completions := 0, 0
	epoch := time.Unix(1_800_000_000, 0)
	for now := time.Duration(0); now < length; now += tick {
		// At the peak the rate is a third more than the slots can serve.
		rate := 95 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
		var arriving []request
		if random.Float64() < rate*tick.Seconds() {
			sent++
			arriving = append(arriving, request{firstSentAt: now, process: max(0, random.IntN(processes+2)-2)})
			if random.Float64() < 0.5 && arriving[0].process == 0 {
				arriving[0].process = 1
			}
		}
		sort.SliceStable(refused, func(i, j int) bool { return refused[i].sentAt < refused[j].sentAt })
		for len(refused) > 0 && refused[0].sentAt <= now {
			refused[0].process = random.IntN(processes)
			arriving, refused = append(arriving, refused[0]), refused[1:]
		}
		for _, r := range arriving {
			left := timeout - (now - r.firstSentAt)
			arrivals++
			admitted := true
			switch admission {
			case admitAll:
			case byLimit:
				admitted = admitters[r.process].Admit(capacity(r.process), left, timeout).Admitted
			case byTotalLoad:
				admitted = admitters[r.process].AdmitByTotalLoad(admitter.Capacity{Slots: slots}, totalLoad, 0, r.refusals > 0).Admitted
			}
			if !admitted {
				if r.refusals++; r.refusals <= 1 {
					r.sentAt = now + admitter.RetryAfter(left, random.Float64())
					refused = append(refused, r)
				}
				continue
			}
			r.sentAt = now
			queue = append(queue, r)
		}
		completions += len(processesByEnd[now])
		if now%exchangeInterval == 0 {
			returning := 0
			for _, r := range queue {
				returning += r.refusals
			}
			exchanged[now+exchangeDelay] = admitter.TotalLoad{InFlight: float64(len(queue) + len(runningUntil) - returning), Returning: float64(returning), ArrivalRate: float64(arrivals) / exchangeInterval.Seconds(), CompletionRate: float64(completions) / exchangeInterval.Seconds(), MeanDuration: duration}
			arrivals, completions = 0, 0
		}
		if c, ok := exchanged[now]; ok {
			totalLoad = c
		}
		for _, p := range processesByEnd[now] {
			if withAdmitters {
				admitters[p].Done()
			}
		}
		n := 0
		for _, e := range runningUntil {
			if e > now {
				runningUntil[n] = e
				n++
			}
		}
		runningUntil = runningUntil[:n]
		if admission == byTotalLoad {
			// Returning requests wait behind the others.
			sort.SliceStable(queue, func(i, j int) bool { return queue[i].refusals < queue[j].refusals })
		}
		for len(queue) > 0 && len(runningUntil) < slots {
			r := queue[0]
			queue = queue[1:]
			if now+firstEventDelay-r.sentAt > callerTimeout {
				if withAdmitters {
					admitters[r.process].Done()
				}
				continue
			}
			end := now + duration
			runningUntil = append(runningUntil, end)
			processesByEnd[end] = append(processesByEnd[end], r.process)
			if now-r.firstSentAt < timeout {
				completed++
			}
			if now+firstEventDelay-r.firstSentAt <= target {
				onTime++
			}
			if withAdmitters {
				admitters[r.process].ObserveFirstEvent(epoch.Add(now), capacity(r.process), now+firstEventDelay-r.sentAt, target)
			}
		}
	}
	return float64(onTime) / float64(sent), float64(completed) / float64(sent)
}

// Admission by the limit of each process gives more requests their first event in
// time than no admission control does, and admission by the load of all processes
// still more, both with few and with many processes. With either, over nine tenths of
// the requests are served, some of them on a retry.
func TestAdmissionAtPeakLoad(t *testing.T) {
	admitAllInTime, admitAllServed := simulate(admitAll, 7)
	t.Logf("all requests admitted: in time %.3f, served %.3f", admitAllInTime, admitAllServed)
	for _, processes := range []int{7, 77} {
		limitInTime, limitServed := simulate(byLimit, processes)
		inTime, served := simulate(byTotalLoad, processes)
		t.Logf("%d processes: in time %.3f, served %.3f by the limit of each process, %.3f, %.3f by the total load", processes, limitInTime, limitServed, inTime, served)
		assert.Greater(t, limitInTime, admitAllInTime)
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
	assert.True(t, a.Admit(p, 5*time.Second, 6*time.Second).Admitted, "a returning request has a higher limit")
	assert.False(t, a.Admit(p, 5*time.Second, 6*time.Second).Admitted)
	a.Done()
	a.Done()
	assert.True(t, a.Admit(p, 6*time.Second, 6*time.Second).Admitted)
}

// While more requests arrive than end because the load has just begun, the free slots
// are filled.
func TestAdmitByTotalLoadWhileLoadRises(t *testing.T) {
	var a admitter.Admitter
	c := admitter.TotalLoad{InFlight: 18, ArrivalRate: 50, CompletionRate: 4, MeanDuration: 500 * time.Millisecond}
	admitted := 0
	for range 20 {
		if a.AdmitByTotalLoad(admitter.Capacity{Slots: 26}, c, 0, false).Admitted {
			admitted++
		}
	}
	assert.GreaterOrEqual(t, admitted, 19)
}

func TestRetryAfter(t *testing.T) {
	for left := time.Duration(0); left < 20*time.Second; left += 50 * time.Millisecond {
		for _, draw := range []float64{0, 0.5, 0.999} {
			after := admitter.RetryAfter(left, draw)
			assert.GreaterOrEqual(t, after, time.Duration(0))
			assert.LessOrEqual(t, after, left/3)
		}
	}
}
