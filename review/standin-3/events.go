//go:build review3

package main

import (
	"context"
	"sync"
	"time"
)

// events: a part of the engines sends bytes that are no events in the middle of streams.
func events(w *world) error {
	if err := w.startSmall(3); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() { w.callInTurn(ctx, i) })
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.fleet.setTrouble(troubleEvents, 3)
	}
	time.Sleep(5 * time.Second)
	w.fleet.setTrouble(troubleNone, 0)
	time.Sleep(8 * time.Second)
	cancel()
	group.Wait()
	w.resultsMu.Lock()
	n := w.results["200 with bytes that are no event"]
	w.resultsMu.Unlock()
	if n > 0 {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.violate("MIXED: %d streams came whole and with status 200, and had bytes in them that are no event", n)
	}
	return nil
}
