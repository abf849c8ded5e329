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
	// _firstRepeat is the time until an order that showed no effect is repeated;
	// it doubles with each repetition.
	_firstRepeat = 2 * time.Second
	_maxRepeat   = 30 * time.Second
)

// Orderer gives orders to engines.
type Orderer interface {
	Order(ctx context.Context, address string, o engineclient.Order) (engineclient.Status, error)
}

// errand is an order for an instance.
type errand struct {
	instance storer.Instance
	order    engineclient.Order
}

// sending is the past of the orders for one instance.
type sending struct {
	replica    string
	generation uint64
	tries      int
	next       time.Time
}

// orders gives orders to engines without waiting for them.
type orders struct {
	orderer Orderer
	lease   *leaser.Leaser
	log     logger.Logger
	group   sync.WaitGroup

	// sent belongs to the placer's goroutine.
	sent map[string]sending

	mu   sync.Mutex
	busy map[string]bool
}

// give sends the errands that are due, each instance one at a time.
func (o *orders) give(ctx context.Context, errands []errand, now time.Time) {
	if o.sent == nil {
		o.sent, o.busy = make(map[string]sending), make(map[string]bool)
	}
	wanted := make(map[string]bool, len(errands))
	for _, e := range errands {
		n := e.instance.Name
		wanted[n] = true
		if !o.due(e, now) || !o.may(e.instance, now) || !o.begin(n) {
			continue
		}
		s := o.sent[n]
		s.tries++
		s.next = now.Add(min(_maxRepeat, _firstRepeat<<min(s.tries-1, 10)))
		o.sent[n] = s
		o.group.Go(func() { o.send(ctx, e) })
	}
	for n := range o.sent {
		if !wanted[n] {
			delete(o.sent, n)
		}
	}
}

// due says that the order is new, or that it showed no effect for long enough.
func (o *orders) due(e errand, now time.Time) bool {
	s, ok := o.sent[e.instance.Name]
	if !ok || s.replica != e.order.Replica || s.generation != e.order.Generation {
		o.sent[e.instance.Name] = sending{replica: e.order.Replica, generation: e.order.Generation}
		return true
	}
	return !now.Before(s.next)
}

// may says that the engine would refuse a late order of an earlier holder, or
// that the longest one of a holder that runs has ended. A holder that was paused
// can send one later still; its effect shows in the instance's status.
func (o *orders) may(i storer.Instance, now time.Time) bool {
	return i.ChecksFencing || o.lease.HeldFor(now) > _orderTimeout
}

func (o *orders) begin(instance string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[instance] {
		return false
	}
	o.busy[instance] = true
	return true
}

func (o *orders) send(ctx context.Context, e errand) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.busy, e.instance.Name)
	}()
	if !o.lease.Held(time.Now()) {
		return
	}
	call, cancel := context.WithTimeout(ctx, _orderTimeout)
	defer cancel()
	_, err := o.orderer.Order(call, e.instance.Address, e.order)
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

// wait waits for the orders under way.
func (o *orders) wait() { o.group.Wait() }
