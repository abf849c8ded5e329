package sharer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// encode returns a message of this process that carries the load l.
func (s *Sharer) encode(l Load) *wire.Round {
	r := &wire.Round{Sender: s.Name, DataCentre: s.DataCentre, Processes: uint32(l.Processes)}
	for id, n := range l.InFlight {
		if n > 0 {
			r.Loads = append(r.Loads, &wire.UpstreamLoad{Upstream: id, InFlight: uint32(n), ActiveMs: encodeActivity(l, id)})
		}
	}
	for k, d := range l.Demand {
		r.Demands = append(r.Demands, &wire.ModelDemand{Service: k.Service, Model: k.Model, Asked: d.ArrivalRate, Ended: d.CompletionRate, Late: uint32(max(d.Returning, 0)), Offered: encodeOffered(d.Offered)})
	}
	for x, n := range l.SilentHeads {
		r.Silences = append(r.Silences, &wire.Silence{Upstream: x.Upstream, Epoch: x.Epoch, Processes: uint32(n)})
	}
	r.Crashes, r.Verdicts = encodeCrashes(l.Evidence), encodeVerdicts(l.Evidence)
	for x := range l.Departures {
		r.Departures = append(r.Departures, &wire.Departure{Upstream: x.Upstream, StartedMs: x.StartedMs})
	}
	r.Limits, r.LeaseTerm = encodeLimits(l.Limits), l.LeaseTerm
	return r
}

// encodeOffered returns the work by priority, without the priorities after the last that
// callers ask for.
func encodeOffered(d prioritiser.Demand) []float64 {
	n := len(d)
	for n > 0 && d[n-1] == 0 {
		n--
	}
	return d[:n]
}

// encodeActivity returns the activity of an upstream as a message carries it.
func encodeActivity(l Load, upstream string) uint32 {
	since, ok := l.Activity[upstream]
	if !ok || since > _loadLifetime {
		return 0
	}
	return uint32(max(since.Milliseconds(), 0)) + 1
}

// decode returns the load that a message carries.
func decode(r *wire.Round) Load {
	l := Load{
		InFlight: make(map[string]int, len(r.GetLoads())), Demand: make(map[ModelKey]Demand, len(r.GetDemands())),
		SilentHeads: make(map[SilentHead]int, len(r.GetSilences())), Processes: int(r.GetProcesses()),
		Activity: make(map[string]time.Duration),
	}
	for _, x := range r.GetLoads() {
		l.InFlight[x.GetUpstream()] += int(x.GetInFlight())
		if ms := x.GetActiveMs(); ms > 0 {
			l.Activity[x.GetUpstream()] = time.Duration(ms-1) * time.Millisecond
		}
	}
	for _, x := range r.GetDemands() {
		d := Demand{ArrivalRate: x.GetAsked(), CompletionRate: x.GetEnded(), Returning: int(x.GetLate())}
		copy(d.Offered[:], x.GetOffered())
		l.Demand[ModelKey{Service: x.GetService(), Model: x.GetModel()}] = d
	}
	for _, x := range r.GetSilences() {
		l.SilentHeads[SilentHead{Upstream: x.GetUpstream(), Epoch: x.GetEpoch()}] += int(x.GetProcesses())
	}
	l.Evidence = decodeEvidence(r)
	for _, x := range r.GetDepartures() {
		if l.Departures == nil {
			l.Departures = make(map[screener.Life]bool, len(r.GetDepartures()))
		}
		l.Departures[screener.Life{Upstream: x.GetUpstream(), StartedMs: x.GetStartedMs()}] = true
	}
	l.Limits, l.LeaseTerm = decodeLimits(r.GetLimits()), r.GetLeaseTerm()
	return l
}

func encodeChanges(list []reflector.Change[[]byte]) []*wire.ObjectChange {
	out := make([]*wire.ObjectChange, len(list))
	for i, c := range list {
		out[i] = &wire.ObjectChange{Name: c.Name, Value: c.Value, Deleted: c.Deleted}
	}
	return out
}

func decodeChanges(list []*wire.ObjectChange) []reflector.Change[[]byte] {
	out := make([]reflector.Change[[]byte], len(list))
	for i, c := range list {
		out[i] = reflector.Change[[]byte]{Name: c.GetName(), Value: c.GetValue(), Deleted: c.GetDeleted()}
	}
	return out
}

func encodeMembers(m enumerator.Members) []*wire.Member {
	out := make([]*wire.Member, len(m.Peers()))
	for i, p := range m.Peers() {
		out[i] = &wire.Member{Name: p.Name, DataCentre: p.DataCentre, Address: p.Address, ProcessorShare: p.ProcessorShare}
	}
	return out
}

func decodeMembers(list []*wire.Member) enumerator.Members {
	peers := make([]enumerator.Peer, len(list))
	for i, m := range list {
		peers[i] = enumerator.Peer{Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(), ProcessorShare: m.GetProcessorShare()}
	}
	return enumerator.NewMembers(peers)
}
