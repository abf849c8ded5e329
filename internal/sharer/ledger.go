package sharer

import (
	"maps"
	"time"
)

// _freshFor is how long what a process or a data centre has told of its load
// counts.
const _freshFor = 1500 * time.Millisecond

// ModelKey names what requests share the groups of.
type ModelKey struct{ Service, Model string }

// Demand is how many requests come and end, a second. Those that are refused come,
// and do not end.
type Demand struct {
	ArrivalRate, CompletionRate float64
	// Retrying is the number of requests that came back after a refusal and wait for
	// their first event.
	Retrying int
}

// Load is what some processes have under way. Its maps are not changed once it is
// told.
type Load struct {
	// InFlight is the number of requests at each upstream.
	InFlight map[string]int
	Demand   map[ModelKey]Demand
	// SilentHeads are the heads of groups that fell silent, with the number of processes
	// that see it.
	SilentHeads map[SilentHead]int
	// Processes is the number of processes that are summed.
	Processes int
}

// SilentHead names a head of a group that fell silent.
type SilentHead struct {
	Upstream string
	Epoch    uint64
}

// told is a load and when it was told.
type told struct {
	load Load
	at   time.Time
}

// ledger keeps what others have told. The zero value is ready for use.
type ledger struct {
	entries map[string]told
}

// put notes a load.
func (l *ledger) put(who string, load Load, now time.Time) {
	if l.entries == nil {
		l.entries = make(map[string]told)
	}
	l.entries[who] = told{load, now}
}

// sum adds the loads that are fresh to one's own, and forgets the others.
func (l *ledger) sum(own Load, now time.Time) Load {
	out := Load{InFlight: make(map[string]int, len(own.InFlight)), Demand: make(map[ModelKey]Demand, len(own.Demand)), SilentHeads: make(map[SilentHead]int)}
	out.add(own)
	maps.DeleteFunc(l.entries, func(_ string, t told) bool { return now.Sub(t.at) > _freshFor })
	for _, t := range l.entries {
		out.add(t.load)
	}
	return out
}

func (l *Load) add(o Load) {
	for id, n := range o.InFlight {
		l.InFlight[id] += n
	}
	for p, d := range o.Demand {
		sum := l.Demand[p]
		l.Demand[p] = Demand{ArrivalRate: sum.ArrivalRate + d.ArrivalRate, CompletionRate: sum.CompletionRate + d.CompletionRate, Retrying: sum.Retrying + d.Retrying}
	}
	for x, n := range o.SilentHeads {
		l.SilentHeads[x] += n
	}
	l.Processes += o.Processes
}
