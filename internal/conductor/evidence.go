package conductor

// The platform's list may be older than a group or than the loss of a member. By itself it decides
// one thing: a group whose head is missing from it for a second is closed, since no process sends
// requests to an upstream that is not listed. For all else, what the checks of this process show
// allows:
//
//   - to open a group: each member has answered its latest check;
//   - to close a group or to use its members for others: a member has failed several checks in a
//     row, or one while callers' requests show that the group makes no progress, or has started
//     again, and the group has sent nothing since;
//   - to forget a member that left the list: it is lost in the same way.

// lostMembers returns the members that failed their latest checks or have restarted, and
// those of them that are being checked again.
func (c *Conductor) lostMembers() (lost, rechecking map[string]bool) {
	lost, rechecking = make(map[string]bool), make(map[string]bool)
	for id, k := range c.checks {
		if k.failures >= _failuresUntilLost {
			lost[id] = true
			rechecking[id] = !k.recheckSince.IsZero()
		}
	}
	for id := range c.restarts {
		lost[id] = true
	}
	return lost, rechecking
}

// unconfirmedMembers returns the members whose latest check failed, or that have not answered one
// yet.
func (c *Conductor) unconfirmedMembers() map[string]bool {
	out := make(map[string]bool)
	for id, k := range c.checks {
		if k.failures > 0 || k.answeredAt.IsZero() {
			out[id] = true
		}
	}
	return out
}
