package sharer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// encodeCrashes returns the crashes of evidence as a message carries them.
func encodeCrashes(e quarantiner.Evidence) []*wire.UpstreamCrash {
	var out []*wire.UpstreamCrash
	for life, c := range e.Crashes {
		x := &wire.UpstreamCrash{Upstream: life.Upstream, Epoch: life.Epoch, Series: uint32(c.Series), Broken: uint32(c.Broken), Ended: c.Ended, Survived: c.Survived}
		x.Suspects = encodeParts(slices.Collect(maps.Keys(c.Suspects))...)
		out = append(out, x)
	}
	return out
}

// encodeVerdicts returns what evidence says of parts as a message carries it.
func encodeVerdicts(e quarantiner.Evidence) []*wire.PartVerdict {
	var out []*wire.PartVerdict
	for p := range e.Cleared {
		out = append(out, &wire.PartVerdict{Parts: encodeParts(p), Cleared: true})
	}
	for c, left := range e.Quarantined {
		if ms := left.Milliseconds(); ms > 0 {
			out = append(out, &wire.PartVerdict{Parts: encodeParts(c.Parts()...), QuarantinedMs: uint32(min(ms, math.MaxUint32))})
		}
	}
	return out
}

// decodeEvidence returns the evidence that a message carries.
func decodeEvidence(r *wire.Round) quarantiner.Evidence {
	var e quarantiner.Evidence
	for _, x := range r.GetCrashes() {
		c := quarantiner.Crash{Series: int(x.GetSeries()), Broken: int(x.GetBroken()), Ended: x.GetEnded(), Survived: x.GetSurvived(), Suspects: make(map[quarantiner.Part]bool)}
		for _, p := range decodeParts(x.GetSuspects()) {
			c.Suspects[p] = true
		}
		life := quarantiner.Life{Upstream: x.GetUpstream(), Epoch: x.GetEpoch()}
		e.Add(quarantiner.Evidence{Crashes: map[quarantiner.Life]quarantiner.Crash{life: c}}, 0)
	}
	for _, v := range r.GetVerdicts() {
		parts := decodeParts(v.GetParts())
		if len(parts) == 0 {
			continue
		}
		if v.GetCleared() {
			e.Add(quarantiner.Evidence{Cleared: map[quarantiner.Part]bool{parts[0]: true}}, 0)
		}
		if ms := v.GetQuarantinedMs(); ms > 0 {
			c := quarantiner.NewCombination(parts...)
			e.Add(quarantiner.Evidence{Quarantined: map[quarantiner.Combination]time.Duration{c: time.Duration(ms) * time.Millisecond}}, 0)
		}
	}
	return e
}

func encodeParts(parts ...quarantiner.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

func decodeParts(hashes []uint64) []quarantiner.Part {
	out := make([]quarantiner.Part, len(hashes))
	for i, h := range hashes {
		out[i] = quarantiner.Part(h)
	}
	return out
}
