package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of the fleet.
const (
	_dataCentres = 3
	_entries     = 7
	_replicas    = 21 // 63 instances in replicas of 2, 3 and 4
	_slots       = 8
)

// Times of the engine model.
const (
	_tokenTime  = 30 * time.Millisecond
	_promptTime = 250 * time.Microsecond // for a prompt token that is not cached
)

// _longTokens is the length from which an answer counts as long.
const _longTokens = 512

// Phases of a run.
const (
	_warmUp   = 60 * time.Second
	_crest    = 120 * time.Second
	_coolDown = 60 * time.Second
)

// workload describes who sends what and when.
type workload struct {
	name string
	// shares are the organisations' parts of the requests, the large ones first.
	shares []float64
	large  int
	// Lengths are log-normal: a median in tokens and a deviation of the logarithm.
	shortMedian, shortSigma float64
	longMedian, longSigma   float64
	longPart                float64
	promptTokens            int
	// load is the part of the capacity that callers ask for at a time of the run.
	load func(at time.Duration, crest float64) float64
	// burst is the part of a crest's requests that come from one organisation.
	burst float64
}

var _workloads = []workload{
	{
		// A queue opens in the morning: within 3 s the load rises and stays.
		name: "tallowgum", shares: _shares, large: 3,
		shortMedian: 60, shortSigma: 0.6, longMedian: 2000, longSigma: 0.4, longPart: 0.03, promptTokens: 1200,
		load: func(at time.Duration, crest float64) float64 {
			if at < _warmUp || at >= _warmUp+_crest {
				return _baseLoad
			}
			rise := min(1, (at-_warmUp).Seconds()/3)
			return _baseLoad + (crest-_baseLoad)*rise
		},
	},
	{
		// Urgent notices: 10 s of every 20 s are a crest, mostly of one
		// organisation.
		name: "awaj", shares: _shares, large: 3,
		shortMedian: 40, shortSigma: 0.6, longMedian: 1200, longSigma: 0.4, longPart: 0.04, promptTokens: 600, burst: 0.5,
		load: func(at time.Duration, crest float64) float64 {
			if at < _warmUp || at >= _warmUp+_crest || (at-_warmUp)%(20*time.Second) >= 10*time.Second {
				return _baseLoad
			}
			return crest
		},
	},
}

const _baseLoad = 0.3

// _shares are three large organisations and seven small ones.
var _shares = []float64{0.35, 0.2, 0.15, 0.05, 0.05, 0.04, 0.04, 0.04, 0.04, 0.04}

// request is one request of a caller.
type request struct {
	sent         time.Duration
	organisation int
	tokens       int
	limit        int // what the caller asks for at most
	prompt       int // tokens
	prefix       int // prompts with the same beginning
	entry        int
	long         bool

	tries   int
	started time.Duration // when a slot took it; -1 for never
	first   time.Duration // when its first token came
	wait    time.Duration // from its last sending to its start
	refused bool
}

// capacity returns the requests a second that all slots together serve.
func (w workload) capacity() float64 {
	mean := func(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }
	tokens := (1-w.longPart)*mean(w.shortMedian, w.shortSigma) + w.longPart*mean(w.longMedian, w.longSigma)
	service := tokens*_tokenTime.Seconds() + float64(w.promptTokens)*_promptTime.Seconds()
	return _replicas * _slots / service
}

// requests returns the requests of a run in the order of their times.
func (w workload) requests(seed uint64, crest float64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []*request
	const step = time.Millisecond
	rate := w.capacity()
	for at := time.Duration(0); at < _warmUp+_crest+_coolDown; at += step {
		expected := rate * w.load(at, crest) * step.Seconds()
		for expected > random.Float64() {
			expected--
			out = append(out, w.request(random, at))
		}
	}
	return out
}

func (w workload) request(random *rand.Rand, at time.Duration) *request {
	r := &request{sent: at, started: -1, entry: random.IntN(_entries), long: random.Float64() < w.longPart}
	r.organisation = pick(random, w.shares)
	if crest := at >= _warmUp && at < _warmUp+_crest; crest && random.Float64() < w.burst {
		r.organisation = int((at-_warmUp)/(20*time.Second)) % w.large
	}
	r.tokens = length(random, w.shortMedian, w.shortSigma)
	if r.long {
		r.tokens = max(_longTokens, length(random, w.longMedian, w.longSigma))
	} else {
		r.tokens = min(_longTokens-1, r.tokens)
	}
	r.limit = w.limit(random, r)
	r.prompt = w.promptTokens
	r.prefix = r.organisation*4 + random.IntN(4)
	return r
}

// limit is the caller's max_tokens. Every third organisation always asks for
// the same high limit; the others ask for one that fits the form.
func (w workload) limit(random *rand.Rand, r *request) int {
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

func length(random *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*random.NormFloat64())))
}

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
