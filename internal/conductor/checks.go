package conductor

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// check is the account of one member's checks.
type check struct {
	nextAt   time.Time
	failures int
	inFlight bool
	// suspected is when callers' traffic last showed that the group stands still.
	suspectedAt time.Time
	// since is when the member fell silent, and answered when it last answered.
	silentSince, answeredAt time.Time
	// group and epoch are the member's group when it was last asked.
	group string
	epoch uint64
	// doubted is when another member of the group answered again after it was lost:
	// what ended its silence may have ended this member's. Zero where this member
	// was asked since.
	recheckSince time.Time
}

// hurry checks the members of an upstream's group now.
func (c *Conductor) checkGroupNow(id string, now time.Time) {
	fleet := c.Catalogue.Fleet()
	if fleet == nil {
		return
	}
	suspect := fleet.Upstreams[id]
	if suspect.Group.Name == "" {
		return
	}
	for other, k := range c.checks {
		u := fleet.Upstreams[other]
		if u.Group.Name == suspect.Group.Name && u.Group.Epoch == suspect.Group.Epoch && now.Sub(k.suspectedAt) >= _checkInterval {
			k.nextAt, k.suspectedAt = now, now
		}
	}
}

// lost returns the upstreams that failed their latest checks, and those of them
// that are being asked again.
func (c *Conductor) lostMembers() (lost, doubted map[string]bool) {
	lost, doubted = make(map[string]bool), make(map[string]bool)
	for id, k := range c.checks {
		if k.failures >= _failuresUntilLost {
			lost[id] = true
			doubted[id] = !k.recheckSince.IsZero()
		}
	}
	return lost, doubted
}

// check asks the members of groups whether they are there.
func (c *Conductor) checkMembers(ctx context.Context, now time.Time, fleet *cataloguer.Fleet, service string) {
	for id := range c.checks {
		if u, ok := fleet.Upstreams[id]; !ok || u.Service == service && u.Group.Name == "" && c.checks[id].failures == 0 && !c.isListStale(now) {
			delete(c.checks, id)
		}
	}
	for _, u := range fleet.OfService(service) {
		if u.Group.Name == "" && c.checks[u.ID] == nil && !c.isListStale(now) {
			continue
		}
		k := c.checks[u.ID]
		if k == nil {
			k = &check{nextAt: now}
			c.checks[u.ID] = k
		}
		if k.inFlight || now.Before(k.nextAt) {
			continue
		}
		k.inFlight = true
		c.checkMember(ctx, u, k)
	}
}

// ask checks one member on a goroutine of its own.
func (c *Conductor) checkMember(ctx context.Context, u cataloguer.Upstream, k *check) {
	k.group, k.epoch = u.Group.Name, u.Group.Epoch
	began := time.Now()
	c.tasks.Go(func() {
		r, err := c.report(ctx, u)
		c.postResult(ctx, func(now time.Time) {
			k.inFlight = false
			if err != nil {
				c.recordFailure(u, k, began, now, err)
				return
			}
			c.recordAnswer(u, k, now)
			c.recordReport(now, u.ID, r)
			c.orderCounts.observe(u.ID, r, now)
		})
	})
}

// answered notes a check that was answered.
func (c *Conductor) recordAnswer(u cataloguer.Upstream, k *check, now time.Time) {
	if k.failures >= _failuresUntilLost {
		n := c.recheckGroup(k, now)
		c.Log.Event("member-regained", logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "rechecked": n})
	}
	k.failures = 0
	k.answeredAt = now
	k.recheckSince = time.Time{}
	k.nextAt = now.Add(_checkInterval)
}

// unanswered notes a check that began at the time given and failed.
func (c *Conductor) recordFailure(u cataloguer.Upstream, k *check, began, now time.Time, err error) {
	if began.Before(k.recheckSince) {
		// It was asked before the other member answered again.
		k.nextAt = now
		return
	}
	k.recheckSince = time.Time{}
	if k.failures == 0 {
		k.silentSince = began
	}
	k.failures++
	if k.failures < _failuresUntilLost && now.Sub(k.suspectedAt) < _checkInterval {
		// Its group stands still, which is a sign of its own.
		k.failures = _failuresUntilLost
	}
	k.nextAt = now.Add(_recheckDelay)
	if k.failures == _failuresUntilLost {
		c.Log.Failure("member-lost", err, logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "checks": k.failures})
	}
	if k.failures > _failuresUntilLost {
		k.nextAt = now.Add(_checkInterval)
	}
}

// doubt asks the lost members of a group again, since one of them has answered,
// and returns how many they are.
func (c *Conductor) recheckGroup(back *check, now time.Time) int {
	n := 0
	for _, k := range c.checks {
		if k == back || k.failures < _failuresUntilLost || k.group != back.group || k.epoch != back.epoch {
			continue
		}
		k.recheckSince, k.nextAt = now, now
		n++
	}
	return n
}

func (c *Conductor) report(ctx context.Context, u cataloguer.Upstream) (cataloguer.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	return c.Upstreams.Report(ctx, u)
}
