package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/gossiper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ErrClosed says that Run has ended, or that the caller's context ended first.
var ErrClosed = errors.New("replicator: not running")

// Answer merges a peer's digest and returns the digest to answer with. It returns
// ErrClosed if Run has ended or ctx ends first.
func (r *Replicator) Answer(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	reply := make(chan *wire.Digest, 1)
	ok := r.runInLoop(ctx, func() {
		r.receive(d)
		reply <- r.gossiper.Compose(d.GetSender().GetName(), r.localState(), time.Now())
	})
	if !ok {
		return nil, ErrClosed
	}
	return <-reply, nil
}

// exchange starts an exchange with a peer. If one is already in progress at the same
// address, it only records that another has to follow. followUps is the number of
// exchanges that directly preceded this one.
func (r *Replicator) exchange(ctx context.Context, t gossiper.Target, followUps int) {
	if r.inProgress[t.Address] {
		r.repeat[t.Address] = true
		return
	}
	r.inProgress[t.Address] = true
	l := r.localState()
	r.gossiper.Update(l, time.Now())
	var d *wire.Digest
	if t.Name == "" {
		d = r.gossiper.ComposeFirst(l)
	} else {
		d = r.gossiper.Compose(t.Name, l, time.Now())
	}
	r.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, _exchangeTimeout)
		defer cancel()
		answer, err := r.options.Exchanger.Exchange(callCtx, t.Address, d)
		r.runInLoop(ctx, func() { r.finishExchange(ctx, t, answer, err, followUps) })
	})
}

// finishExchange merges the peer's answer, or records that the exchange failed. It starts
// another exchange if one was requested meanwhile, or if this process or the peer still
// lacks something.
func (r *Replicator) finishExchange(ctx context.Context, t gossiper.Target, answer *wire.Digest, err error, followUps int) {
	delete(r.inProgress, t.Address)
	repeat := r.repeat[t.Address]
	delete(r.repeat, t.Address)
	if err != nil {
		r.gossiper.RecordFailure(t.Name)
		if !r.unreachable[t.Address] {
			r.unreachable[t.Address] = true
			r.options.Log.Failure("peer-silent", err, logger.Fields{"peer": t.Name, "address": t.Address})
		}
		return
	}
	if r.unreachable[t.Address] {
		delete(r.unreachable, t.Address)
		r.options.Log.Event("peer-back", logger.Fields{"peer": t.Name, "address": t.Address})
	}
	r.receive(answer)
	// Another process may have started at the address since the target was chosen.
	t.Name = answer.GetSender().GetName()
	needed := r.gossiper.NeedsExchange(t.Name, r.localState(), time.Now())
	if repeat || needed && followUps < _maxFollowUps {
		r.exchange(ctx, t, followUps+1)
	}
}

// receive merges a digest, and applies the configuration, the placements and the read
// times that it carries.
func (r *Replicator) receive(d *wire.Digest) {
	now := time.Now()
	peer := d.GetSender().GetName()
	in := r.gossiper.Receive(d, r.localState(), now)
	source := "peer " + peer
	if in.Configuration != nil {
		r.options.Configuration.ApplyRecord(in.Configuration, source)
	}
	if len(in.Changes) > 0 {
		r.options.Configuration.ApplyChanges(in.Changes, source)
	}
	for _, p := range in.Placements {
		r.options.Placements.ApplyPlacement(p)
	}
	current := r.options.Configuration.Current().Number()
	if len(in.Changes) > 0 && current < in.ConfigurationNumber {
		r.gossiper.RequestConfiguration(peer)
	}
	// The time of the peer's read counts for this process only once its configuration is
	// at least as new as the peer's.
	if current >= in.ConfigurationNumber {
		r.options.ConfigurationSchedule.ObserveRead(in.ConfigurationRead)
	}
	if in.PlacementsComplete {
		r.options.PlacementsSchedule.ObserveRead(in.PlacementsRead)
	}
	if in.NotifyPeers {
		r.updateLeaving(now)
		r.scheduleNotification()
	}
}
