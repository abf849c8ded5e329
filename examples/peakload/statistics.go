package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// _firstTokenTarget is the greatest time to the first token with which a request counts
// as good.
const _firstTokenTarget = 1500 * time.Millisecond

// statistics holds the results of a run, for the requests that were first sent during
// the peak.
type statistics struct {
	workload   workload
	requests   []*request
	longTokens float64 // generated during the peak for long answers
}

// row holds the values of one row of the table, over all seeds.
type row struct {
	// short, long and small are the waits in ms of short requests, of long requests, and
	// of the short requests of small organisations.
	short, long, small *hdrhistogram.Histogram
	// longTokenRate and goodRate are means over the seeds, per second of the peak.
	longTokenRate, goodRate float64
	sent, refused           int
	// sentSmall and refusedSmall count the short requests of small organisations.
	sentSmall, refusedSmall int
}

func newRow() *row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 3) }
	return &row{short: h(), long: h(), small: h()}
}

// inPeak reports whether a time is in the peak of the run.
func (s *statistics) inPeak(at time.Duration) bool { return at >= _warmUp && at < _warmUp+_peakTime }

// recordGeneration counts the tokens of a long answer that are generated during the peak.
// The answer is generated from its first token until end.
func (s *statistics) recordGeneration(r *request, end time.Duration) {
	if !r.long {
		return
	}
	from, until := max(r.first, _warmUp), min(end, _warmUp+_peakTime)
	s.longTokens += max(0, (until-from).Seconds()) / _tokenTime.Seconds()
}

// addTo adds the results of one seed to a row that sums up that many seeds.
func (s *statistics) addTo(to *row, seeds int) {
	to.longTokenRate += s.longTokens / _peakTime.Seconds() / float64(seeds)
	for _, r := range s.requests {
		small := r.organisation >= s.workload.largeCount
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
		s.recordServed(to, r, small, seeds)
	}
}

// recordServed adds a request that was not refused to a row.
func (s *statistics) recordServed(to *row, r *request, small bool, seeds int) {
	wait := r.wait
	if r.started < 0 {
		// The request still waited for a slot when the run ended.
		wait = _warmUp + _peakTime + _coolDown - r.sent
	} else if r.first-r.sent <= _firstTokenTarget {
		to.goodRate += 1 / _peakTime.Seconds() / float64(seeds)
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
