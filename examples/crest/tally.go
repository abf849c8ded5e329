package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// _target is the greatest wait for the first token that counts as good.
const _target = 1500 * time.Millisecond

// tally is what a run of a crest came to.
type tally struct {
	workload   workload
	requests   []*request
	longTokens float64 // generated in the crest for long answers
}

// row is one line of the table.
type row struct {
	short, long, small      *hdrhistogram.Histogram // waits in milliseconds
	longRate, good          float64                 // a second
	sent, refused           int
	sentSmall, refusedSmall int
}

func newRow() *row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 3) }
	return &row{short: h(), long: h(), small: h()}
}

func (t *tally) inCrest(at time.Duration) bool { return at >= _warmUp && at < _warmUp+_crest }

// generated notes an answer that runs from its first token to end.
func (t *tally) generated(r *request, end time.Duration) {
	if !r.long {
		return
	}
	from, to := max(r.first, _warmUp), min(end, _warmUp+_crest)
	t.longTokens += max(0, (to-from).Seconds()) / _tokenTime.Seconds()
}

// add puts the tally of one seed into a row of several.
func (t *tally) add(to *row, seeds int) {
	to.longRate += t.longTokens / _crest.Seconds() / float64(seeds)
	for _, r := range t.requests {
		small := r.organisation >= t.workload.large
		to.sent++
		small = small && !r.long
		if small {
			to.sentSmall++
		}
		if r.refused {
			to.refused++
			if small {
				to.refusedSmall++
			}
			continue
		}
		t.served(to, r, small, seeds)
	}
}

func (t *tally) served(to *row, r *request, small bool, seeds int) {
	wait := r.wait
	if r.started < 0 {
		// It still waits when the run ends.
		wait = _warmUp + _crest + _coolDown - r.sent
	} else if r.first-r.sent <= _target {
		to.good += 1 / _crest.Seconds() / float64(seeds)
	}
	h := to.short
	if r.long {
		h = to.long
	}
	_ = h.RecordValue(max(1, wait.Milliseconds()))
	if small && !r.long {
		_ = to.small.RecordValue(max(1, wait.Milliseconds()))
	}
}
