//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playQuietCrashes: one part of prompts crashes servers while few requests come. BUDGET
// allows three requests with that part later than contactMs after the fifth crash.
func playQuietCrashes(w *world) (bool, error) {
	const (
		deadlyPart = "dead51f0"
		contact    = 3 * time.Second
		allowed    = 3
		length     = 98 * time.Second
		// A quiet hour: a little over two requests a second, of which one in 21 has the part.
		soundPause  = 430 * time.Millisecond
		deadlyPause = 20 * soundPause
	)
	domains := make(map[string]string)
	for i := range 18 {
		domains[fmt.Sprintf("d%d", i)] = []string{"a", "b", "c"}[i%3]
	}
	e, err := newEngines(w, domains, 11)
	if err != nil {
		return false, err
	}
	if err := prepare(w); err != nil {
		return false, err
	}
	client := newClient()
	send := func(n int, prompt string) *request {
		q := newRequest("/draft/2f", 8*time.Second)
		q.model, q.prompt = "small", prompt
		q.send(w, client, w.machines[n%len(w.machines)])
		return q
	}
	if err := awaitServed(func(n int) bool { return send(n, fmt.Sprintf("5c1e07a2:40,%08x:1420", n)).whole }); err != nil {
		return false, err
	}
	if w.trouble {
		e.crashUnder(deadlyPart)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sound, served, deadly := 0, 0, 0
	end := time.Now().Add(length)
	// flow sends requests at random moments, one in each pause.
	flow := func(pause time.Duration, prompt func(n int) string, record func(q *request)) {
		for n := 0; time.Now().Add(pause).Before(end); n++ {
			next := time.After(pause)
			time.Sleep(rand.N(pause))
			group.Go(func() {
				q := send(rand.IntN(len(w.machines)), prompt(n))
				mu.Lock()
				defer mu.Unlock()
				record(q)
			})
			<-next
		}
	}
	group.Go(func() {
		flow(soundPause, func(n int) string { return fmt.Sprintf("5c1e07a2:40,%08x:1420", 1<<20+n) }, func(q *request) {
			sound++
			if q.status == 200 && q.whole {
				served++
			}
		})
	})
	group.Go(func() {
		flow(deadlyPause, func(n int) string { return fmt.Sprintf("5c1e07a2:40,%s:200,%08x:1420", deadlyPart, 1<<24+n) }, func(*request) { deadly++ })
	})
	group.Wait()
	after := e.cluster.ArrivalsAfterCrash(5, contact)
	w.record.note("sound requests: %d, served %d; requests with the part: %d; crashes: %d; requests with the part that reached servers later than %s after the fifth crash: %d (allowed: %d)",
		sound, served, deadly, e.cluster.Crashes(), contact, after, allowed)
	if !w.trouble {
		return served < sound || after > 0, nil
	}
	return after > allowed, nil
}

// prepare writes the configuration, starts three machines in three zones and waits until
// they are ready.
func prepare(w *world) error {
	w.store.Put("config", "main", configuration())
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := w.addMachine(fmt.Sprintf("front-%s-%d", zone, i), zone); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitServed waits until six requests in a row are served.
func awaitServed(isServed func(n int) bool) error {
	row := 0
	for n := range 60 {
		row++
		if !isServed(n) {
			row = 0
		}
		if row == 6 {
			return nil
		}
		time.Sleep(400 * time.Millisecond)
	}
	return fmt.Errorf("the deployment did not begin to serve")
}
