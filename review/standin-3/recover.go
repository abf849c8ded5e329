//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// The figures of the case are those of awaj-relay, with four machines.
const (
	_recoverTime  = 12 * time.Second // recoverS
	_beforeTime   = 8 * time.Second
	_downTime     = 1200 * time.Millisecond
	_badTime      = 5 * time.Second
	_measureTime  = 12 * time.Second
	_recoverShare = 0.25
)

// recoverAll: all processes are killed and start again while the engines to which requests for one
// model are sent send bytes that are no answer, for some seconds.
func recoverAll(w *world) error {
	if err := w.startSmall(4); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() { w.callInTurn(ctx, i) })
	}
	began := time.Now()
	time.Sleep(_beforeTime)
	faultAt := time.Now()
	if w.trouble && os.Getenv("TROUBLE") != "kill" {
		if os.Getenv("TROUBLE") != "all" {
			w.fleet.setTroubleModel(kinds[1].model)
		}
		w.fleet.setTrouble(troubleBytes, 10)
	}
	if w.trouble && os.Getenv("TROUBLE") != "bytes" {
		for _, m := range w.machines {
			m.kill()
		}
		time.Sleep(_downTime)
		for _, m := range w.machines {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	backAt := time.Now()
	time.Sleep(time.Until(faultAt.Add(_badTime)))
	w.fleet.setTrouble(troubleNone, 0)
	from := backAt.Add(_recoverTime)
	time.Sleep(time.Until(from.Add(_measureTime)))
	cancel()
	group.Wait()
	for _, k := range kinds {
		sent, served := w.servedKind(k, from, from.Add(_measureTime))
		w.record.printf("%s: %d of %d requests sent in these last %s were served", k.path, served, sent, _measureTime)
		fmt.Printf("%s: %d of %d requests sent in the last %s were served\n", k.path, served, sent, _measureTime)
	}
	sentBefore, servedBefore := w.served(began, faultAt.Add(-2*time.Second))
	sent, served := w.served(from, from.Add(_measureTime))
	text := fmt.Sprintf("before the fault %d of %d requests were served; of those sent later than %s after the machines were back, %d of %d", servedBefore, sentBefore, _recoverTime, served, sent)
	w.record.printf("%s", text)
	fmt.Println(text)
	if float64(servedBefore) < _recoverShare*float64(sentBefore) || sent == 0 {
		return errors.New("too few requests were served before the fault")
	}
	if float64(served) < _recoverShare*float64(sent) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.violate("RECOVER: %s", text)
	}
	return nil
}

// startSmall starts the engines of awaj-relay and some machines, and waits for the groups.
func (w *world) startSmall(machines int) error {
	zones := []string{"a", "b", "c"}
	for i := range 66 {
		d := i / 11
		if err := w.fleet.add(fmt.Sprintf("e%02d", i), zones[d%len(zones)], fmt.Sprintf("d%d", d)); err != nil {
			return err
		}
	}
	for i := range machines {
		if err := w.addMachine(fmt.Sprintf("front-%d", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if !w.until("12 groups are open", 30*time.Second, func() bool { return w.fleet.openGroups() >= 12 }) {
		return errors.New("the groups did not open")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// kindOf returns the kind of a request. The shares are those of the streams of smah-buzon-grown,
// of which one kind has most; draw is a random number from 0 to 1.
func kindOf(draw float64) kind {
	const mostShare = 0.91
	if draw < mostShare {
		return kinds[1]
	}
	return kinds[0]
}

// callInTurn is a caller that calls the machines in turn.
func (w *world) callInTurn(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; ctx.Err() == nil; n++ {
		wait := w.send(ctx, client, w.machines[n%len(w.machines)], request{kind: kindOf(rand.Float64())})
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, 300*time.Millisecond)):
		}
	}
}
