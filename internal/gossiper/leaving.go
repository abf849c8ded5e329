package gossiper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// leavingReport is a report that an instance is about to stop.
type leavingReport struct {
	// boot identifies the run of the instance; empty where it is not known.
	boot string
	// issuedAt is when the report was made.
	issuedAt time.Time
}

// MarkLeaving records that this process itself found an instance to be leaving. boot is
// empty where only the platform's list says so. It reports whether no current report of
// the instance was known.
func (g *Gossiper) MarkLeaving(instance, boot string, now time.Time) bool {
	return g.recordLeaving(instance, boot, now, now)
}

// Leaving returns the boot of an instance that is known to be leaving, and false if there
// is no current report of the instance.
func (g *Gossiper) Leaving(instance string, now time.Time) (boot string, ok bool) {
	e := g.leaving[instance]
	if e == nil || now.Sub(e.issuedAt) > _leavingLifetime {
		return "", false
	}
	return e.boot, true
}

// LeavingInstances returns the boot of each instance that is known to be leaving, by
// instance name.
func (g *Gossiper) LeavingInstances(now time.Time) map[string]string {
	out := make(map[string]string, len(g.leaving))
	for name := range g.leaving {
		if boot, ok := g.Leaving(name, now); ok {
			out[name] = boot
		}
	}
	return out
}

// recordLeaving records a report that was made at issuedAt, and reports whether no
// current report of the instance was known. The newer time is kept, and a boot is never
// replaced by an empty one.
func (g *Gossiper) recordLeaving(instance, boot string, issuedAt, now time.Time) bool {
	old := g.leaving[instance]
	if old == nil || now.Sub(old.issuedAt) > _leavingLifetime {
		g.leaving[instance] = &leavingReport{boot: boot, issuedAt: issuedAt}
		return true
	}
	if issuedAt.After(old.issuedAt) {
		old.issuedAt = issuedAt
	}
	if boot != "" {
		old.boot = boot
	}
	return false
}

// receiveLeaving records the leaving reports of a digest, and reports whether one of them
// is new.
func (g *Gossiper) receiveLeaving(p *peer, d *wire.Digest, now time.Time) bool {
	notify := false
	for _, e := range d.GetEvidence() {
		issuedAt := now.Add(-age(e.GetAgeMs()))
		if !e.GetLeaving() || now.Sub(issuedAt) > _leavingLifetime {
			continue
		}
		p.has.leaving[e.GetInstance()] = issuedAt
		notify = g.recordLeaving(e.GetInstance(), e.GetBoot(), issuedAt, now) || notify
	}
	return notify
}

// composeLeaving adds to d the leaving reports that the peer lacks or should be sent again,
// and to s what was added.
func (g *Gossiper) composeLeaving(p *peer, d *wire.Digest, s entrySet, now time.Time) {
	for name, e := range g.leaving {
		had, known := p.has.leaving[name]
		if now.Sub(e.issuedAt) > _leavingLifetime || known && e.issuedAt.Sub(had) < _leavingInterval {
			continue
		}
		s.leaving[name] = e.issuedAt
		d.Evidence = append(d.Evidence, &wire.InstanceEvidence{
			Instance: name, Boot: e.boot, Leaving: true, AgeMs: millis(now.Sub(e.issuedAt)),
		})
	}
}
