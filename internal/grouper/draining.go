package grouper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _drainServiceTime is how long an open group goes on serving after the first of its
// members has begun to drain. Such a member stays as long as the group has requests, but
// not longer than ten seconds; the rest of that time is for the requests in progress.
const _drainServiceTime = 7 * time.Second

// mayKeepServing reports whether an open group with draining members goes on serving: its
// head does not drain, since no requests may be sent to it then, and no spares can take
// the places of all draining members yet. While it serves, spares load its model.
func (d *decision) mayKeepServing(x *group) bool {
	if x.head.Group.State != cataloguer.MemberOpen || x.head.Draining {
		return false
	}
	if d.conditionAge(d.now, x.key, "draining") >= _drainServiceTime {
		return false
	}
	return d.freeReplacements(x) < x.drainingCount
}

// freeReplacements returns the number of free spares that can take the place of a group's
// draining member at once, less those that other groups of the model have been closed
// for.
func (d *decision) freeReplacements(x *group) int {
	n := 0
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		isSpare := u.Group.Name == "" || isStandbyName(u.Group.Name)
		if isSpare && u.Domain == x.head.Domain && d.isFree(u) && hasModel(u, x.model) {
			n++
		}
	}
	for _, other := range d.groups {
		if other != x && other.isComplete() && other.head.Domain == x.head.Domain && other.model.Name == x.model.Name && other.head.Group.State != cataloguer.MemberOpen {
			n -= other.drainingCount
		}
	}
	return n
}
