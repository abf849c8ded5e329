package placer

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

const (
	// _orderTimeout bounds one order.
	_orderTimeout = 2 * time.Second
	// _firstRetryDelay is the time until an order is sent again if the
	// instance's status doesn't show its effect. It doubles with each retry, up
	// to _maxRetryDelay.
	_firstRetryDelay = 2 * time.Second
	_maxRetryDelay   = 30 * time.Second
)

// Orderer sends orders to engines.
type Orderer interface {
	Order(ctx context.Context, address string, o engineclient.Order) (engineclient.Status, error)
}

// instanceOrder is an order and the instance that it is for.
type instanceOrder struct {
	instance storer.Instance
	order    engineclient.Order
}

// sendRecord records how often the current order of an instance was sent, and
// when the next attempt is due.
type sendRecord struct {
	replica    string
	generation uint64
	attempts   int
	nextAt     time.Time
}

// orderSender sends orders to engines in the background.
type orderSender struct {
	orderer Orderer
	lease   *leaser.Leaser
	log     logger.Logger
	senders sync.WaitGroup

	// sent holds the records by instance. Only the placer's goroutine uses it.
	sent map[string]sendRecord

	mu sync.Mutex
	// inFlight holds the instances that an order is being sent to.
	inFlight map[string]bool
}

// sendDue starts sending the orders that are due, at most one per instance at a
// time, and drops the records of instances that need no order any more.
func (o *orderSender) sendDue(ctx context.Context, orders []instanceOrder, now time.Time) {
	if o.sent == nil {
		o.sent, o.inFlight = make(map[string]sendRecord), make(map[string]bool)
	}
	needed := make(map[string]bool, len(orders))
	for _, e := range orders {
		n := e.instance.Name
		needed[n] = true
		if !o.isOrderDue(e, now) || !o.safeFromLateOrders(e.instance, now) || !o.tryBegin(n) {
			continue
		}
		s := o.sent[n]
		s.attempts++
		s.nextAt = now.Add(min(_maxRetryDelay, _firstRetryDelay<<min(s.attempts-1, 10)))
		o.sent[n] = s
		o.senders.Go(func() { o.send(ctx, e) })
	}
	for n := range o.sent {
		if !needed[n] {
			delete(o.sent, n)
		}
	}
}

// isOrderDue reports whether the order is new, or its retry delay has passed. It starts
// the record of a new order.
func (o *orderSender) isOrderDue(e instanceOrder, now time.Time) bool {
	s, ok := o.sent[e.instance.Name]
	if !ok || s.replica != e.order.Replica || s.generation != e.order.Generation {
		o.sent[e.instance.Name] = sendRecord{replica: e.order.Replica, generation: e.order.Generation}
		return true
	}
	return !now.Before(s.nextAt)
}

// safeFromLateOrders reports whether the instance may get an order of this
// holder: either its engine refuses late orders of an earlier holder, or the
// lease has been held for long enough that any order which an earlier holder had
// in flight has timed out. An earlier holder whose process was paused can still
// send an order later; the instance's status then shows that order.
func (o *orderSender) safeFromLateOrders(i storer.Instance, now time.Time) bool {
	return i.ChecksFencing || o.lease.HeldFor(now) > _orderTimeout
}

// tryBegin marks an order to the instance as in flight, and returns false if one
// is already.
func (o *orderSender) tryBegin(instance string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[instance] {
		return false
	}
	o.inFlight[instance] = true
	return true
}

// send sends one order and logs the outcome, unless the lease has been lost.
func (o *orderSender) send(ctx context.Context, e instanceOrder) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.inFlight, e.instance.Name)
	}()
	if !o.lease.Held(time.Now()) {
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, _orderTimeout)
	defer cancel()
	_, err := o.orderer.Order(orderCtx, e.instance.Address, e.order)
	fields := logger.Fields{
		"instance": e.instance.Name, "replica": e.order.Replica, "generation": e.order.Generation,
		"model": e.order.Model, "version": e.order.Version, "term": o.lease.Term(),
	}
	if err != nil {
		o.log.Failure("order", err, fields)
		return
	}
	o.log.Event("order", fields)
}

// wait waits for the orders in flight.
func (o *orderSender) wait() { o.senders.Wait() }
