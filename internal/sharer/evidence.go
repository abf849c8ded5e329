package sharer

import (
	"math"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// encodeCrashes returns the crashes of evidence as a message carries them.
func encodeCrashes(e quarantiner.Evidence) []*wire.UpstreamCrash {
	var out []*wire.UpstreamCrash
	for life, c := range e.Crashes {
		x := &wire.UpstreamCrash{Upstream: life.Upstream, Epoch: life.Epoch, Broken: uint32(c.Broken), Refused: c.Refused, Survived: c.Survived}
		for p := range c.Suspects {
			x.Suspects = append(x.Suspects, uint64(p))
		}
		out = append(out, x)
	}
	return out
}

// encodeVerdicts returns what evidence says of parts as a message carries it.
func encodeVerdicts(e quarantiner.Evidence) []*wire.PartVerdict {
	var out []*wire.PartVerdict
	for p := range e.Cleared {
		out = append(out, &wire.PartVerdict{Parts: []uint64{uint64(p)}, Cleared: true})
	}
	for p, left := range e.Quarantined {
		if ms := left.Milliseconds(); ms > 0 {
			out = append(out, &wire.PartVerdict{Parts: []uint64{uint64(p)}, QuarantinedMs: uint32(min(ms, math.MaxUint32))})
		}
	}
	return out
}

// decodeEvidence returns the evidence that a message carries.
func decodeEvidence(r *wire.Round) quarantiner.Evidence {
	var e quarantiner.Evidence
	for _, x := range r.GetCrashes() {
		c := quarantiner.Crash{Broken: int(x.GetBroken()), Refused: x.GetRefused(), Survived: x.GetSurvived(), Suspects: make(map[quarantiner.Part]bool)}
		for _, p := range x.GetSuspects() {
			c.Suspects[quarantiner.Part(p)] = true
		}
		life := quarantiner.Life{Upstream: x.GetUpstream(), Epoch: x.GetEpoch()}
		e.Add(quarantiner.Evidence{Crashes: map[quarantiner.Life]quarantiner.Crash{life: c}}, 0)
	}
	for _, v := range r.GetVerdicts() {
		if len(v.GetParts()) == 0 {
			continue
		}
		p := quarantiner.Part(v.GetParts()[0])
		if v.GetCleared() {
			e.Add(quarantiner.Evidence{Cleared: map[quarantiner.Part]bool{p: true}}, 0)
		}
		if ms := v.GetQuarantinedMs(); ms > 0 {
			e.Add(quarantiner.Evidence{Quarantined: map[quarantiner.Part]time.Duration{p: time.Duration(ms) * time.Millisecond}}, 0)
		}
	}
	return e
}
