package sharer

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// _loadLifetime is how long the reported load of a process or a data centre counts.
const _loadLifetime = 1500 * time.Millisecond

// ModelKey identifies a model of a service; requests with the same key share the
// groups that serve it.
type ModelKey struct{ Service, Model string }

// Demand describes the requests for one model.
type Demand struct {
	// ArrivalRate and CompletionRate are in requests per second. Refused requests
	// count as arrivals only.
	ArrivalRate, CompletionRate float64
	// Offered is the work that callers ask for by priority.
	Offered prioritiser.Demand
	// Returning is the number of requests that were sent again after a refusal and wait
	// for their first event.
	Returning int
}

// Load is the load of one or more processes. Its maps must not be changed once it has
// been passed on.
type Load struct {
	// InFlight is the number of requests at each upstream.
	InFlight map[string]int
	Demand   map[ModelKey]Demand
	// Activity holds, for upstreams with requests in flight, the time since they last
	// sent data to any of the processes. It lacks those that have sent none lately.
	Activity map[string]time.Duration
	// SilentHeads holds, for each silent head, the number of processes that see it as
	// silent.
	SilentHeads map[SilentHead]int
	// Evidence is what the processes saw of upstreams that crashed.
	Evidence quarantiner.Evidence
	// Departures are the upstreams that told the processes lately that they are leaving.
	Departures map[screener.Life]bool
	// Limits is the newest evidence of the processes of upstreams that state a limit.
	Limits map[screener.Life]screener.LimitNotice
	// LeaseTerm is the latest term under which one of the processes has held the lease whose
	// holder gives orders to upstreams; 0 if none has.
	LeaseTerm uint64
	// Processes is the number of processes whose loads are summed.
	Processes int
}

// SilentHead identifies the head of a group, the member that requests are sent to, when
// it sends nothing although it has begun to answer.
type SilentHead struct {
	Upstream string
	Epoch    uint64
}

// reportedLoad is a load and the time at which it was received.
type reportedLoad struct {
	load Load
	at   time.Time
}

// loadTable holds the most recent load that each process or data centre has reported.
// The zero value is ready for use.
type loadTable struct {
	entries map[string]reportedLoad
}

func (l *loadTable) record(reporter string, load Load, now time.Time) {
	if l.entries == nil {
		l.entries = make(map[string]reportedLoad)
	}
	l.entries[reporter] = reportedLoad{load, now}
}

// sum returns own plus the reported loads that are younger than _loadLifetime, and
// deletes the older ones.
func (l *loadTable) sum(own Load, now time.Time) Load {
	out := Load{InFlight: make(map[string]int, len(own.InFlight)), Demand: make(map[ModelKey]Demand, len(own.Demand)), SilentHeads: make(map[SilentHead]int), Activity: make(map[string]time.Duration)}
	out.add(own, 0)
	maps.DeleteFunc(l.entries, func(_ string, r reportedLoad) bool { return now.Sub(r.at) > _loadLifetime })
	for _, r := range l.entries {
		out.add(r.load, now.Sub(r.at))
	}
	return out
}

// add adds a load that was received the given time ago.
func (l *Load) add(o Load, age time.Duration) {
	for id, n := range o.InFlight {
		l.InFlight[id] += n
	}
	for k, d := range o.Demand {
		sum := l.Demand[k]
		l.Demand[k] = Demand{
			ArrivalRate: sum.ArrivalRate + d.ArrivalRate, CompletionRate: sum.CompletionRate + d.CompletionRate, Returning: sum.Returning + d.Returning,
			Offered: sum.Offered.Add(d.Offered),
		}
	}
	for id, since := range o.Activity {
		if known, ok := l.Activity[id]; !ok || since+age < known {
			l.Activity[id] = since + age
		}
	}
	for x, n := range o.SilentHeads {
		l.SilentHeads[x] += n
	}
	l.Evidence.Add(o.Evidence, age)
	if len(o.Departures) > 0 && l.Departures == nil {
		l.Departures = make(map[screener.Life]bool, len(o.Departures))
	}
	maps.Copy(l.Departures, o.Departures)
	l.addLimits(o.Limits, age)
	l.LeaseTerm = max(l.LeaseTerm, o.LeaseTerm)
	l.Processes += o.Processes
}

// addLimits adds evidence of limits that was received the given time ago.
func (l *Load) addLimits(limits map[screener.Life]screener.LimitNotice, age time.Duration) {
	if len(limits) > 0 && l.Limits == nil {
		l.Limits = make(map[screener.Life]screener.LimitNotice, len(limits))
	}
	for life, n := range limits {
		n.Age += age
		if known, ok := l.Limits[life]; !ok || n.Age < known.Age {
			l.Limits[life] = n
		}
	}
}
