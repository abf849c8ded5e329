package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of the deployment.
const (
	_dataCentres = 3
	_entries     = 7
	_replicas    = 21 // 63 instances in replicas of 2, 3 and 4
	_slots       = 8
)

// Times of the engine model.
const (
	_tokenTime  = 30 * time.Millisecond
	_promptTime = 250 * time.Microsecond // per prompt token that is not cached
)

// _longTokens is the length in tokens from which an answer counts as long.
const _longTokens = 512

// Phases of a run.
const (
	_warmUp   = 60 * time.Second
	_peakTime = 120 * time.Second
	_coolDown = 60 * time.Second
)

// workload describes who sends what and when.
type workload struct {
	name string
	// shares are the organisations' fractions of the requests; the first largeCount of
	// the organisations are the large ones.
	shares     []float64
	largeCount int
	// The lengths of answers are log-normal: a median in tokens, and the standard
	// deviation of the logarithm.
	shortMedian, shortSigma float64
	longMedian, longSigma   float64
	longFraction            float64
	promptTokens            int
	// load returns the load that callers offer at a time of the run, as a multiple of
	// the capacity; peak is the load at the peak.
	load func(at time.Duration, peak float64) float64
	// burstFraction is the fraction of the requests during the peak that come from one
	// organisation.
	burstFraction float64
}

var _workloads = []workload{
	{
		// A service opens in the morning: the load rises to the peak within 3 s and stays
		// there.
		name: "tallowgum", shares: _shares, largeCount: 3,
		shortMedian: 60, shortSigma: 0.6, longMedian: 2000, longSigma: 0.4, longFraction: 0.03, promptTokens: 1200,
		load: func(at time.Duration, peak float64) float64 {
			if at < _warmUp || at >= _warmUp+_peakTime {
				return _baseLoad
			}
			rise := min(1, (at-_warmUp).Seconds()/3)
			return _baseLoad + (peak-_baseLoad)*rise
		},
	},
	{
		// Urgent notices: the load is at the peak for 10 s of every 20 s, and more than half
		// of it comes from one of the large organisations, another one each time.
		name: "awaj", shares: _shares, largeCount: 3,
		shortMedian: 40, shortSigma: 0.6, longMedian: 1200, longSigma: 0.4, longFraction: 0.04, promptTokens: 600, burstFraction: 0.5,
		load: func(at time.Duration, peak float64) float64 {
			if at < _warmUp || at >= _warmUp+_peakTime || (at-_warmUp)%(20*time.Second) >= 10*time.Second {
				return _baseLoad
			}
			return peak
		},
	},
}

// _baseLoad is the load outside the peak, as a multiple of the capacity.
const _baseLoad = 0.3

// _shares are the fractions of the requests of three large organisations and seven small
// ones.
var _shares = []float64{0.35, 0.2, 0.15, 0.05, 0.05, 0.04, 0.04, 0.04, 0.04, 0.04}

// request is one request of a caller. Its times are those of the run.
type request struct {
	sent         time.Duration // when the caller last sent it
	organisation int
	tokens       int // the length of the answer
	maxTokens    int // the limit that the caller sets
	promptTokens int
	prefix       int // identifies the beginning that prompts share
	entry        int
	long         bool

	attempts int           // refused so far
	started  time.Duration // when a slot was assigned; -1 if never
	first    time.Duration // when the first token was generated
	wait     time.Duration // from sent to started
	refused  bool
}

// capacity returns the number of requests per second that all slots together serve.
func (w workload) capacity() float64 {
	mean := func(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }
	tokens := (1-w.longFraction)*mean(w.shortMedian, w.shortSigma) + w.longFraction*mean(w.longMedian, w.longSigma)
	service := tokens*_tokenTime.Seconds() + float64(w.promptTokens)*_promptTime.Seconds()
	return _replicas * _slots / service
}

// requests returns the requests of a run in the order in which they are sent; peak is
// the peak load as a multiple of the capacity.
func (w workload) requests(seed uint64, peak float64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []*request
	const step = time.Millisecond
	rate := w.capacity()
	for at := time.Duration(0); at < _warmUp+_peakTime+_coolDown; at += step {
		expected := rate * w.load(at, peak) * step.Seconds()
		for expected > random.Float64() {
			expected--
			out = append(out, w.request(random, at))
		}
	}
	return out
}

// request returns a random request of the workload that is sent at a time of the run.
func (w workload) request(random *rand.Rand, at time.Duration) *request {
	r := &request{sent: at, started: -1, entry: random.IntN(_entries), long: random.Float64() < w.longFraction}
	r.organisation = pick(random, w.shares)
	if inPeak := at >= _warmUp && at < _warmUp+_peakTime; inPeak && random.Float64() < w.burstFraction {
		r.organisation = int((at-_warmUp)/(20*time.Second)) % w.largeCount
	}
	r.tokens = randomLength(random, w.shortMedian, w.shortSigma)
	if r.long {
		r.tokens = max(_longTokens, randomLength(random, w.longMedian, w.longSigma))
	} else {
		r.tokens = min(_longTokens-1, r.tokens)
	}
	r.maxTokens = w.maxTokens(random, r)
	r.promptTokens = w.promptTokens
	r.prefix = r.organisation*4 + random.IntN(4)
	return r
}

// maxTokens returns the max_tokens of a request. Every third organisation always sets
// the same high limit; the others set one that fits the length of the answer.
func (w workload) maxTokens(random *rand.Rand, r *request) int {
	const high = 4096
	if r.organisation%3 == 0 {
		return high
	}
	limit := 256
	for limit < r.tokens*(2+random.IntN(2)) {
		limit *= 2
	}
	return min(limit, 2*high)
}

// randomLength returns a log-normal length in tokens.
func randomLength(random *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*random.NormFloat64())))
}

// pick returns a random index; shares are the probabilities, which sum up to 1.
func pick(random *rand.Rand, shares []float64) int {
	x := random.Float64()
	for i, s := range shares {
		if x < s {
			return i
		}
		x -= s
	}
	return len(shares) - 1
}
