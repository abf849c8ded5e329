package conductor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

const (
	// _orderTimeout is the timeout of an order, which an upstream answers at once.
	_orderTimeout = 700 * time.Millisecond
	// _openVisibleDelay is the time until an order to open shows in the state that a
	// head reports: the engine's time to form the group and the lag of reports.
	_openVisibleDelay = 1200 * time.Millisecond
)

// ErrRefused means that an upstream refused an order, which had no effect.
var ErrRefused = errors.New("order refused")

// ErrFenced means that an upstream refused an order, since it has seen one of a later
// lease term. It wraps ErrRefused.
var ErrFenced = fmt.Errorf("%w: the upstream has seen a later fencing token", ErrRefused)

// Command is an order that is conditional on the number of orders that the upstream
// has accepted.
type Command struct {
	grouper.Order
	// ExpectedOrders is the number of orders that the upstream is expected to have
	// accepted since it last started. With another number it refuses the order.
	ExpectedOrders uint64
	// FencingToken is the term of the lease under which the order is given. Where
	// upstreams check it, they refuse a lower one than they have seen.
	FencingToken uint64
}

// UpstreamClient reads reports of upstreams and sends orders to them.
type UpstreamClient interface {
	// Report reads the report of an upstream.
	Report(ctx context.Context, u cataloguer.Upstream) (cataloguer.Report, error)
	// Order sends an order and returns whether the upstream has begun to carry it
	// out. If begun is false without an error, the upstream was in the ordered state
	// already. ErrRefused means that the order had no effect, and any other error
	// that its effect is unknown.
	Order(ctx context.Context, u cataloguer.Upstream, c Command) (begun bool, err error)
}

// sendOrder sends one order on a goroutine of its own, and records its outcome.
func (c *Conductor) sendOrder(ctx context.Context, g *grouper.Grouper, fleet *cataloguer.Fleet, o grouper.Order) {
	u, term := fleet.Upstreams[o.Upstream], c.Lease.Term()
	c.tasks.Go(func() {
		sentAt := time.Now()
		outcome, err := c.sendIfUnchanged(ctx, u, Command{Order: o, FencingToken: term})
		c.postResult(ctx, func(now time.Time) {
			g.RecordOutcome(now, o, outcome)
			if errors.Is(err, ErrFenced) {
				c.recordFenced(now, sentAt, o.Upstream, term, err)
			}
			if k := c.checks[o.Upstream]; k != nil && (c.isListStale(now) || c.isOutdated(o.Upstream) || outcome == grouper.OutcomeRefused) {
				k.nextAt = now
			}
			fields := logger.Fields{
				"operation": o.Operation, "upstream": o.Upstream, "group": o.Group, "epoch": o.Epoch, "model": o.Model,
				"reason": o.Reason, "fleet_revision": fleet.Revision, "outcome": outcome, "took_ms": now.Sub(sentAt).Milliseconds(),
			}
			if o.Operation == grouper.OperationJoin {
				fields["members"] = len(o.Members)
			}
			if err != nil {
				c.Log.Failure("order", err, fields)
				return
			}
			c.Log.Event("order", fields)
		})
	})
}

// sendIfUnchanged reads the upstream's report, and sends the order if the upstream
// still has the membership on which the order was decided.
func (c *Conductor) sendIfUnchanged(ctx context.Context, u cataloguer.Upstream, o Command) (grouper.Outcome, error) {
	r, err := c.report(ctx, u)
	if err != nil {
		return grouper.OutcomeUnsent, fmt.Errorf("conductor: %s on %s: report: %w", o.Operation, u.ID, err)
	}
	if u.StartedMs != 0 && r.StartedMs != 0 && r.StartedMs != u.StartedMs {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: the upstream has restarted", o.Operation, u.ID)
	}
	if o.Operation == grouper.OperationJoin && r.Group.Name == o.Group && r.Group.Epoch == o.Epoch {
		return grouper.OutcomeAccepted, nil
	}
	if o.Operation == grouper.OperationStage && r.OrderInProgress {
		// Another process has ordered the upstream to stage a model.
		return grouper.OutcomeAccepted, nil
	}
	if r.Group.Name != o.Observed.Name || r.Group.Epoch != o.Observed.Epoch {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: the upstream is now in group %q of epoch %d", o.Operation, u.ID, r.Group.Name, r.Group.Epoch)
	}
	if leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave; leaves && r.Group.IsServingHead() {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: the upstream is the head of group %q, which is now %s", o.Operation, u.ID, r.Group.Name, r.Group.State)
	}
	if err := c.checkMayLeave(u, o.Order, r); err != nil {
		return grouper.OutcomeUnsent, err
	}
	ctx, cancel := context.WithTimeout(ctx, _orderTimeout)
	defer cancel()
	o.ExpectedOrders = c.orderCounts.expected(u.ID, r)
	begun, err := c.Upstreams.Order(ctx, u, o)
	switch {
	case err == nil:
		if begun {
			c.orderCounts.recordBegun(u.ID, r.StartedMs, o.ExpectedOrders+1)
		}
		return grouper.OutcomeAccepted, nil
	case errors.Is(err, ErrRefused):
		c.orderCounts.forget(u.ID)
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: %w", o.Operation, u.ID, err)
	default:
		return grouper.OutcomeUnknown, fmt.Errorf("conductor: %s on %s: %w", o.Operation, u.ID, err)
	}
}

// checkMayLeave returns an error if the order would take the upstream out of its group
// and the upstream is a head that another process may have ordered to open. A head's
// report shows an order to open only some time later. No other process has given one
// if the latest order to the head was an order of this process, or if the head's
// number of orders has been unchanged for _openVisibleDelay.
func (c *Conductor) checkMayLeave(u cataloguer.Upstream, o grouper.Order, r cataloguer.Report) error {
	now := time.Now()
	c.orderCounts.observe(u.ID, r, now)
	leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave
	if !leaves || r.Group.Name == "" || r.Group.Rank != 0 {
		return nil
	}
	if c.orderCounts.latestIsOwn(u.ID, r) || c.orderCounts.unchangedFor(u.ID, r, now) >= _openVisibleDelay {
		return nil
	}
	return fmt.Errorf("conductor: %s on %s: another process may have opened group %q", o.Operation, u.ID, r.Group.Name)
}
