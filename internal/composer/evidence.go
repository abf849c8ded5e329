package composer

import (
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// departureSource tells which instances are leaving, as found by any process.
type departureSource interface {
	// Leaving reports whether an instance is leaving, and during which boot; the boot is
	// empty if it is not known.
	Leaving(instance string) (boot string, ok bool)
}

// evidence combines the results of this process's own probes with the departures of
// instances that its peers report.
type evidence struct {
	*prober.Prober
	departures departureSource
}

// Leaving reports whether a member of the replica is leaving, according to its own
// status, the platform's list or a peer. Reports about an earlier boot of the member are
// ignored.
func (e *evidence) Leaving(r *wire.Replica) bool {
	if e.Prober.Leaving(r) {
		return true
	}
	for _, m := range r.GetMembers() {
		boot, ok := e.departures.Leaving(m)
		if ok && (boot == "" || boot == e.Evidence(m).Status().Boot) {
			return true
		}
	}
	return false
}
