package conductor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// check is the state of the periodic checks of one member of a group.
type check struct {
	nextAt   time.Time // when the next check is due
	failures int       // failed checks in a row
	inFlight bool
	// suspectedAt is when Suspect last reported a member of the group.
	suspectedAt time.Time
	// failingSince is when the first of the failed checks began, and answeredAt is when
	// the member last answered.
	failingSince, answeredAt time.Time
	// group and epoch are the member's group at the latest check.
	group string
	epoch uint64
	// recheckSince is when another lost member of the group answered again, since
	// this member may then answer too. It is zero once this member has been checked
	// since.
	recheckSince time.Time
}

// checkGroupNow makes the checks of all members of a suspected upstream's group due
// now.
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

// checkMembers starts the checks that are due for the members of a service's groups.
// While the platform's list is stale, it also checks upstreams that the list shows
// in no group, and it always checks those whose entry is outdated.
func (c *Conductor) checkMembers(ctx context.Context, now time.Time, fleet *cataloguer.Fleet, service string) {
	evacuated := c.evacuated()
	for id := range c.checks {
		if u, ok := fleet.Upstreams[id]; !ok || evacuated[u.DataCentre] || u.Service == service && u.Group.Name == "" && c.checks[id].failures == 0 && !c.isListStale(now) && !c.isOutdated(id) {
			delete(c.checks, id)
		}
	}
	var due []cataloguer.Upstream
	for _, u := range fleet.OfService(service) {
		if evacuated[u.DataCentre] || u.Group.Name == "" && c.checks[u.ID] == nil && !c.isListStale(now) {
			continue
		}
		k := c.checks[u.ID]
		if k == nil {
			k = &check{nextAt: now}
			c.checks[u.ID] = k
		}
		if !k.inFlight && !now.Before(k.nextAt) {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b cataloguer.Upstream) int { return c.checks[a.ID].compareUrgency(c.checks[b.ID]) })
	for _, u := range due {
		if !c.checkLimiter.AllowN(now, 1) {
			return
		}
		k := c.checks[u.ID]
		k.inFlight = true
		c.checkMember(ctx, u, k)
	}
}

// compareUrgency compares two checks that are due: those on a suspicion or after a failure
// are more urgent, and then those that have waited longer.
func (k *check) compareUrgency(other *check) int {
	urgent := func(x *check) int {
		if x.failures > 0 || x.suspectedAt.Equal(x.nextAt) || !x.recheckSince.IsZero() {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(urgent(k), urgent(other)), k.nextAt.Compare(other.nextAt))
}

// awaitsFirstChecks reports whether the platform's list is stale and the first check of
// an upstream of the service is still under way. Until then some memberships come from
// the old list and some from reports, so a complete group may look incomplete.
func (c *Conductor) awaitsFirstChecks(now time.Time, fleet *cataloguer.Fleet, service string) bool {
	if !c.isListStale(now) {
		return false
	}
	evacuated := c.evacuated()
	for _, u := range fleet.OfService(service) {
		if evacuated[u.DataCentre] {
			continue
		}
		k := c.checks[u.ID]
		if k == nil || k.answeredAt.IsZero() && k.failures == 0 {
			return true
		}
	}
	return false
}

// checkMember checks one member on a goroutine of its own.
func (c *Conductor) checkMember(ctx context.Context, u cataloguer.Upstream, k *check) {
	k.group, k.epoch = u.Group.Name, u.Group.Epoch
	startedAt := time.Now()
	c.tasks.Go(func() {
		r, err := c.report(ctx, u)
		c.postResult(ctx, func(now time.Time) {
			k.inFlight = false
			if err != nil {
				c.recordFailure(u, k, startedAt, now, err)
				return
			}
			c.recordAnswer(u, k, now)
			c.recordRestart(u, r)
			c.recordLeaving(u, r, now)
			c.recordLimit(u, r, now)
			c.recordReport(now, u.ID, r)
			c.recordGroup(startedAt, u, r)
			c.orderCounts.observe(u.ID, r, now)
		})
	})
}

// recordAnswer records a check that the member answered.
func (c *Conductor) recordAnswer(u cataloguer.Upstream, k *check, now time.Time) {
	if k.failures >= _failuresUntilLost {
		n := c.recheckGroup(k, now)
		c.Log.Event("member-regained", logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "rechecked": n})
	}
	k.failures = 0
	k.answeredAt = now
	k.recheckSince = time.Time{}
	k.nextAt = now.Add(c.checkInterval())
}

// recordFailure records a check that failed.
func (c *Conductor) recordFailure(u cataloguer.Upstream, k *check, startedAt, now time.Time, err error) {
	if startedAt.Before(k.recheckSince) {
		// The check began before another member answered again, so its failure does not
		// count.
		k.nextAt = now
		return
	}
	k.recheckSince = time.Time{}
	if k.failures == 0 {
		k.failingSince = startedAt
	}
	k.failures++
	if k.failures < _failuresUntilLost && now.Sub(k.suspectedAt) < _checkInterval {
		// Callers' requests show too that the group makes no progress, so one failed
		// check is enough.
		k.failures = _failuresUntilLost
	}
	k.nextAt = now.Add(_recheckDelay)
	if k.failures == _failuresUntilLost && c.groupSentDataSince(u, k.failingSince.Add(_activityMargin)) {
		// A group sends nothing without one of its members, so only this process can't
		// reach the member.
		c.Log.Failure("member-unreachable", err, logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "outcome": "kept, since its group sends data"})
		k.failures, k.failingSince, k.nextAt = _failuresUntilLost-1, startedAt, now.Add(c.checkInterval())
		return
	}
	if k.failures == _failuresUntilLost {
		c.Log.Failure("member-lost", err, logger.Fields{"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "checks": k.failures})
	}
	if k.failures > _failuresUntilLost {
		k.nextAt = now.Add(c.checkInterval())
	}
}

// groupSentDataSince reports whether the group of a member has sent data to callers
// since the given time.
func (c *Conductor) groupSentDataSince(member cataloguer.Upstream, since time.Time) bool {
	if c.LastActivity == nil || member.Group.Name == "" {
		return false
	}
	for id, m := range c.members {
		if m.Group.Name == member.Group.Name && m.Group.Epoch == member.Group.Epoch && m.Group.Rank == 0 && c.LastActivity(id).After(since) {
			return true
		}
	}
	return false
}

// checkInterval returns the time between two periodic checks of a member.
func (c *Conductor) checkInterval() time.Duration {
	return max(_checkInterval, time.Duration(len(c.checks))*time.Second/_maxChecksPerSecond)
}

// recheckGroup makes the checks of a group's other lost members due now, since one
// lost member has answered. It returns their number.
func (c *Conductor) recheckGroup(returned *check, now time.Time) int {
	n := 0
	for _, k := range c.checks {
		if k == returned || k.failures < _failuresUntilLost || k.group != returned.group || k.epoch != returned.epoch {
			continue
		}
		k.recheckSince, k.nextAt = now, now
		n++
	}
	return n
}

// report reads an upstream's report within _reportTimeout.
func (c *Conductor) report(ctx context.Context, u cataloguer.Upstream) (cataloguer.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	return c.Upstreams.Report(ctx, u)
}
