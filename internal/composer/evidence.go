package composer

import (
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// departing says which instances leave, as any process found.
type departing interface {
	Leaving(instance string) (boot string, ok bool)
}

// evidence is what this process's probes found, with the departures that its
// peers found.
type evidence struct {
	*prober.Prober
	departures departing
}

// Leaving says that a member of the replica leaves, by its own word, the
// platform's or a peer's. A word about an earlier boot is void.
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
