package conductor

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// check is the account of one member's checks.
type check struct {
	next   time.Time
	failed int
	open   bool
	// suspected is when callers' traffic last showed that the group stands still.
	suspected time.Time
	// since is when the member fell silent, and answered when it last answered.
	since, answered time.Time
	// group and epoch are the member's group when it was last asked.
	group string
	epoch uint64
	// doubted is when another member of the group answered again after it was lost:
	// what ended its silence may have ended this member's. Zero where this member
	// was asked since.
	doubted time.Time
}

// hurry checks the members of an upstream's group now.
func (c *Conductor) hurry(id string, now time.Time) {
	fleet := c.Knowledge.Fleet()
	if fleet == nil {
		return
	}
	suspect := fleet.Upstreams[id]
	if suspect.Group.Name == "" {
		return
	}
	for other, k := range c.checks {
		u := fleet.Upstreams[other]
		if u.Group.Name == suspect.Group.Name && u.Group.Epoch == suspect.Group.Epoch && now.Sub(k.suspected) >= _checkEvery {
			k.next, k.suspected = now, now
		}
	}
}

// lost returns the upstreams that failed their latest checks, and those of them
// that are being asked again.
func (c *Conductor) lost() (lost, doubted map[string]bool) {
	lost, doubted = make(map[string]bool), make(map[string]bool)
	for id, k := range c.checks {
		if k.failed >= _lostAfter {
			lost[id] = true
			doubted[id] = !k.doubted.IsZero()
		}
	}
	return lost, doubted
}

// check asks the members of groups whether they are there.
func (c *Conductor) check(ctx context.Context, now time.Time, fleet *cataloguer.Fleet, service string) {
	for id := range c.checks {
		if u, ok := fleet.Upstreams[id]; !ok || u.Service == service && u.Group.Name == "" && c.checks[id].failed == 0 && !c.listOld(now) {
			delete(c.checks, id)
		}
	}
	for _, u := range fleet.OfService(service) {
		if u.Group.Name == "" && c.checks[u.ID] == nil && !c.listOld(now) {
			continue
		}
		k := c.checks[u.ID]
		if k == nil {
			k = &check{next: now}
			c.checks[u.ID] = k
		}
		if k.open || now.Before(k.next) {
			continue
		}
		k.open = true
		c.ask(ctx, u, k)
	}
}

// ask checks one member on a goroutine of its own.
func (c *Conductor) ask(ctx context.Context, u cataloguer.Upstream, k *check) {
	k.group, k.epoch = u.Group.Name, u.Group.Epoch
	began := time.Now()
	c.group.Go(func() {
		r, err := c.report(ctx, u)
		c.result(ctx, func(now time.Time) {
			k.open = false
			if err != nil {
				c.unanswered(u, k, began, now, err)
				return
			}
			c.answered(u, k, now)
			c.reported(now, u.ID, r)
			c.counts.seen(u.ID, r, now)
		})
	})
}

// answered notes a check that was answered.
func (c *Conductor) answered(u cataloguer.Upstream, k *check, now time.Time) {
	if k.failed >= _lostAfter {
		n := c.doubt(k, now)
		c.Log.Event("member-regained", logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "rechecked": n})
	}
	k.failed = 0
	k.answered = now
	k.doubted = time.Time{}
	k.next = now.Add(_checkEvery)
}

// unanswered notes a check that began at the time given and failed.
func (c *Conductor) unanswered(u cataloguer.Upstream, k *check, began, now time.Time, err error) {
	if began.Before(k.doubted) {
		// It was asked before the other member answered again.
		k.next = now
		return
	}
	k.doubted = time.Time{}
	if k.failed == 0 {
		k.since = began
	}
	k.failed++
	if k.failed < _lostAfter && now.Sub(k.suspected) < _checkEvery {
		// Its group stands still, which is a sign of its own.
		k.failed = _lostAfter
	}
	k.next = now.Add(_recheck)
	if k.failed == _lostAfter {
		c.Log.Failure("member-lost", err, logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "checks": k.failed})
	}
	if k.failed > _lostAfter {
		k.next = now.Add(_checkEvery)
	}
}

// doubt asks the lost members of a group again, since one of them has answered,
// and returns how many they are.
func (c *Conductor) doubt(back *check, now time.Time) int {
	n := 0
	for _, k := range c.checks {
		if k == back || k.failed < _lostAfter || k.group != back.group || k.epoch != back.epoch {
			continue
		}
		k.doubted, k.next = now, now
		n++
	}
	return n
}

func (c *Conductor) report(ctx context.Context, u cataloguer.Upstream) (cataloguer.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	return c.Upstreams.Report(ctx, u)
}
