package sharer

import (
	"math"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

func encodeLimits(limits map[screener.Life]screener.LimitNotice) []*wire.Limit {
	out := make([]*wire.Limit, 0, len(limits))
	for life, n := range limits {
		out = append(out, &wire.Limit{
			Upstream: life.Upstream, StartedMs: life.StartedMs, PerSecond: n.Rate, Ended: n.Ended,
			AgeMs: uint32(min(max(n.Age, 0), time.Hour).Milliseconds()),
		})
	}
	return out
}

// decodeLimits returns the evidence that a message carries, without limits that are no
// numbers of 0 or more.
func decodeLimits(list []*wire.Limit) map[screener.Life]screener.LimitNotice {
	if len(list) == 0 {
		return nil
	}
	out := make(map[screener.Life]screener.LimitNotice, len(list))
	for _, x := range list {
		rate := x.GetPerSecond()
		if !(rate >= 0) || math.IsInf(rate, 1) {
			continue
		}
		life := screener.Life{Upstream: x.GetUpstream(), StartedMs: x.GetStartedMs()}
		out[life] = screener.LimitNotice{Rate: rate, Ended: x.GetEnded(), Age: time.Duration(x.GetAgeMs()) * time.Millisecond}
	}
	return out
}
