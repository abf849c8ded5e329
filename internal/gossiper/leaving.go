package gossiper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// leaving is the word that an instance leaves.
type leaving struct {
	boot string
	said time.Time
}

// MarkLeaving notes that this process itself found that an instance leaves. The boot
// is empty where only the platform's list says so. It reports whether that is
// new.
func (g *Gossiper) MarkLeaving(instance, boot string, now time.Time) bool {
	return g.note(instance, boot, now, now)
}

// Leaving returns the boot of the instance that is known to leave; false where
// nothing recent says so.
func (g *Gossiper) Leaving(instance string, now time.Time) (boot string, ok bool) {
	e := g.leaving[instance]
	if e == nil || now.Sub(e.said) > _leavingLimit {
		return "", false
	}
	return e.boot, true
}

// LeavingInstances returns the boot of each instance that is known to leave.
func (g *Gossiper) LeavingInstances(now time.Time) map[string]string {
	out := make(map[string]string, len(g.leaving))
	for name := range g.leaving {
		if boot, ok := g.Leaving(name, now); ok {
			out[name] = boot
		}
	}
	return out
}

// note keeps the newer word; a word that names a boot wins over one that does
// not.
func (g *Gossiper) note(instance, boot string, said, now time.Time) bool {
	old := g.leaving[instance]
	if old == nil || now.Sub(old.said) > _leavingLimit {
		g.leaving[instance] = &leaving{boot: boot, said: said}
		return true
	}
	if said.After(old.said) {
		old.said = said
	}
	if boot != "" {
		old.boot = boot
	}
	return false
}

func (g *Gossiper) receiveLeaving(p *peer, d *wire.Digest, now time.Time) bool {
	news := false
	for _, e := range d.GetEvidence() {
		said := now.Add(-age(e.GetAgeMs()))
		if !e.GetLeaving() || now.Sub(said) > _leavingLimit {
			continue
		}
		p.has.leaving[e.GetInstance()] = said
		news = g.note(e.GetInstance(), e.GetBoot(), said, now) || news
	}
	return news
}

func (g *Gossiper) composeLeaving(p *peer, d *wire.Digest, s sent, now time.Time) {
	for name, e := range g.leaving {
		had, known := p.has.leaving[name]
		if now.Sub(e.said) > _leavingLimit || known && e.said.Sub(had) < _leavingInterval {
			continue
		}
		s.leaving[name] = e.said
		d.Evidence = append(d.Evidence, &wire.InstanceEvidence{
			Instance: name, Boot: e.boot, Leaving: true, AgeMs: millis(now.Sub(e.said)),
		})
	}
}
