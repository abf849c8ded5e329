//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playManyParts: one part of prompts crashes servers, and it is the last of many parts that
// requests share. BUDGET allows three requests with that part later than contactMs after the
// fifth crash. PARTS in the environment sets another number of shared parts.
func playManyParts(w *world) (bool, error) {
	const (
		deadlyPart = "dead51f0"
		contact    = 3 * time.Second
		allowed    = 3
		// 20 requests a second, of which one in 20 has the part.
		soundPause  = 53 * time.Millisecond
		deadlyPause = time.Second
		calm        = 4 * time.Second
		length      = 22 * time.Second
	)
	parts := 18
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	e, err := newEngines(w, map[string]string{"d0": "a", "d1": "b", "d2": "c"}, 11)
	if err != nil {
		return false, err
	}
	if err := prepare(w); err != nil {
		return false, err
	}
	client := newClient()
	var shared []string
	for i := range parts - 1 {
		shared = append(shared, fmt.Sprintf("5c1e07%02x:40", i))
	}
	prompt := func(part string, n int) string {
		return strings.Join(append(shared[:len(shared):len(shared)], part+":40", fmt.Sprintf("%08x:400", n)), ",")
	}
	var mu sync.Mutex
	sound, served, deadly := 0, 0, 0
	send := func(n int, part string) bool {
		q := newRequest("/draft/2f", 8*time.Second)
		q.model, q.prompt = "small", prompt(part, n)
		q.send(w, client, w.machines[n%len(w.machines)])
		isServed := q.status == 200 && q.whole
		mu.Lock()
		defer mu.Unlock()
		switch {
		case part == deadlyPart:
			deadly++
		case isServed:
			sound, served = sound+1, served+1
		default:
			sound++
		}
		return isServed
	}
	if err := awaitServed(func(n int) bool { return send(n, "91bd3f06") }); err != nil {
		return false, err
	}
	sound, served = 0, 0
	if w.trouble {
		e.crashUnder(deadlyPart)
	}
	var group sync.WaitGroup
	start := time.Now()
	flow := func(from, to, pause time.Duration, part string, base int) {
		time.Sleep(time.Until(start.Add(from)))
		for n := 0; time.Since(start) < to; n++ {
			group.Go(func() { send(base+n, part) })
			time.Sleep(pause)
		}
	}
	group.Go(func() { flow(0, calm+length, soundPause, "91bd3f06", 1<<20) })
	group.Go(func() { flow(calm, calm+length, deadlyPause, deadlyPart, 1<<24) })
	group.Wait()
	after := e.cluster.ArrivalsAfterCrash(5, contact)
	w.record.note("shared parts: %d; sound requests: %d, served whole %d; requests with the part: %d; crashes: %d; requests with the part that reached servers later than %s after the fifth crash: %d (allowed: %d)",
		parts, sound, served, deadly, e.cluster.Crashes(), contact, after, allowed)
	if !w.trouble {
		return served < sound || after > 0, nil
	}
	return after > allowed, nil
}
