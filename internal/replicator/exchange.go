package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/gossiper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ErrClosed says that the replicator does not run.
var ErrClosed = errors.New("replicator: not running")

// Answer takes in a peer's digest and returns the answer to it.
func (r *Replicator) Answer(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	reply := make(chan *wire.Digest, 1)
	ok := r.tell(ctx, func() {
		r.receive(d)
		reply <- r.gossiper.Compose(d.GetSender().GetName(), r.local(), time.Now())
	})
	if !ok {
		return nil, ErrClosed
	}
	return <-reply, nil
}

// exchange starts an exchange with a peer, or notes that another has to follow
// the one under way.
func (r *Replicator) exchange(ctx context.Context, t gossiper.Target, followUps int) {
	if r.busy[t.Address] {
		r.again[t.Address] = true
		return
	}
	r.busy[t.Address] = true
	l := r.local()
	r.gossiper.Update(l, time.Now())
	var d *wire.Digest
	if t.Name == "" {
		d = r.gossiper.ComposeFirst(l)
	} else {
		d = r.gossiper.Compose(t.Name, l, time.Now())
	}
	r.group.Go(func() {
		call, cancel := context.WithTimeout(ctx, _exchangeTimeout)
		defer cancel()
		answer, err := r.options.Exchanger.Exchange(call, t.Address, d)
		r.tell(ctx, func() { r.finish(ctx, t, answer, err, followUps) })
	})
}

func (r *Replicator) finish(ctx context.Context, t gossiper.Target, answer *wire.Digest, err error, followUps int) {
	delete(r.busy, t.Address)
	again := r.again[t.Address]
	delete(r.again, t.Address)
	if err != nil {
		r.gossiper.RecordFailure(t.Name)
		if !r.silent[t.Address] {
			r.silent[t.Address] = true
			r.options.Log.Failure("peer-silent", err, logger.Fields{"peer": t.Name, "address": t.Address})
		}
		return
	}
	if r.silent[t.Address] {
		delete(r.silent, t.Address)
		r.options.Log.Event("peer-back", logger.Fields{"peer": t.Name, "address": t.Address})
	}
	r.receive(answer)
	// Another process may have taken the address of the one that was asked.
	t.Name = answer.GetSender().GetName()
	behind := r.gossiper.NeedsExchange(t.Name, r.local(), time.Now())
	if again || behind && followUps < _maxFollowUps {
		r.exchange(ctx, t, followUps+1)
	}
}

// receive takes in a digest and passes on what it brought.
func (r *Replicator) receive(d *wire.Digest) {
	now := time.Now()
	peer := d.GetSender().GetName()
	in := r.gossiper.Receive(d, r.local(), now)
	source := "peer " + peer
	if in.Configuration != nil {
		r.options.Configuration.ApplyRecord(in.Configuration, source)
	}
	if len(in.Changes) > 0 {
		r.options.Configuration.ApplyChanges(in.Changes, source)
	}
	for _, p := range in.Placements {
		r.options.Placements.Offer(p)
	}
	current := r.options.Configuration.Current().Number()
	if len(in.Changes) > 0 && current < in.Number {
		r.gossiper.RequestConfiguration(peer)
	}
	// Knowledge is as fresh as the peer's only once it is no older.
	if current >= in.Number {
		r.options.ConfigurationTurn.ObserveRead(in.ConfigurationRead)
	}
	if in.PlacementsComplete {
		r.options.PlacementsTurn.ObserveRead(in.PlacementsRead)
	}
	if in.NotifyPeers {
		r.noteLeaving(now)
		r.announce()
	}
}
