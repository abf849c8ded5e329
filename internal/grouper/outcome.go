package grouper

import "time"

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown means that no answer came: the upstream may still carry out
	// the order, even much later.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the upstream has begun to carry out the order, or
	// was in the ordered state already.
	OutcomeAccepted
	// OutcomeRefused means that the order had no effect.
	OutcomeRefused
	// OutcomeUnsent means that the order was not sent, since the upstream did not
	// report or may have had another order.
	OutcomeUnsent
)

// String returns the outcome's name for logs.
func (o Outcome) String() string { return [...]string{"unknown", "accepted", "refused", "unsent"}[o] }

// RecordOutcome records the outcome of an order that Decide returned.
func (g *Grouper) RecordOutcome(now time.Time, o Order, outcome Outcome) {
	if o.Operation == OperationLeave && outcome == OutcomeUnknown {
		g.uncertainLeaves[groupKey{o.Group, o.Epoch}] = true
	}
	s, ok := g.sent[o.Upstream]
	if !ok || s.operation != o.Operation || s.epoch != o.Epoch {
		return
	}
	s.unanswered = false
	if s.at.Before(now) {
		s.at = now
	}
	if outcome == OutcomeRefused {
		s.at = now.Add(_refusalDelay - _resendDelay)
	}
	g.sent[o.Upstream] = s
	p := g.plans[o.Epoch]
	if o.Operation == OperationStage && outcome == OutcomeRefused {
		delete(g.staging, o.Upstream)
	}
	if o.Operation != OperationJoin || p == nil {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		p.accepted[o.Upstream] = true
	case OutcomeRefused:
		p.refusedJoins++
		if p.refusedJoins > _maxRefusedJoins {
			g.dropPlan(p)
		}
	case OutcomeUnknown, OutcomeUnsent:
		// The fleet shows later whether the join was carried out; if not, the join is
		// ordered again.
	}
}
