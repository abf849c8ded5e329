//go:build review2

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// playStale: the store is silent for 5 s. After its return the operator adds a key, and two
// machines are killed one after the other. Requests with the key go to the machines that
// nothing has happened to.
func playStale(w *world, trouble bool) bool {
	const (
		rounds     = 7
		silence    = 5 * time.Second
		contact    = 3 * time.Second
		configTime = 2 * time.Second
	)
	for _, z := range []string{"a", "b"} {
		w.addPlain("p-"+z, serve(&stub.PlainUpstream{ID: "p-" + z, ServiceTime: 10 * time.Millisecond, DataCentre: z}), z)
	}
	proxy := newStoreProxy(w.address)
	w.address = proxy.listener.Addr().String()
	keys := []string{_key}
	configure := func(version int) {
		c := stub.Configuration(version, keys...)
		c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
		w.store.Put("config", "main", c)
	}
	configure(2)
	type place struct {
		name, zone string
		port       int
	}
	places := []place{{"front-a-1", "a", 8220}, {"front-a-2", "a", 8230}, {"front-a-3", "a", 8240}, {"front-b-1", "b", 8250}, {"front-b-2", "b", 8260}, {"front-c-1", "c", 8270}, {"front-c-2", "c", 8280}}
	machines := make(map[string]*machine)
	for _, p := range places {
		machines[p.name] = w.start(p.name, p.zone, p.port)
	}
	for _, m := range machines {
		m.awaitReady(10 * time.Second)
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for round := range rounds {
		if trouble {
			proxy.setSilent(true)
		}
		time.Sleep(silence)
		proxy.setSilent(false)
		returned := time.Now()
		var restarts sync.WaitGroup
		kill := func(n int, after time.Duration) {
			if !trouble {
				return
			}
			restarts.Go(func() {
				time.Sleep(time.Until(returned.Add(after)))
				p := places[n]
				machines[p.name].signal(syscall.SIGKILL)
				w.record.add("round %d: %s is killed %.2f s after the store's return", round, p.name, time.Since(returned).Seconds())
				time.Sleep(3 * time.Second)
				machines[p.name] = w.start(p.name, p.zone, p.port)
			})
		}
		kill(_kills[0].machine, _kills[0].after)
		kill(_kills[1].machine, _kills[1].after)
		time.Sleep(100 * time.Millisecond)
		key := fmt.Sprintf("key%dofround", round)
		keys = []string{_key, key}
		configure(10 + round)
		acked := time.Now()
		from := acked.Add(configTime)
		if other := returned.Add(contact); trouble && other.After(from) {
			from = other
		}
		var mu sync.Mutex
		var asking sync.WaitGroup
		for i, p := range places {
			if i == _kills[0].machine || i == _kills[1].machine {
				continue
			}
			address, learned, late := machines[p.name].callers, time.Duration(0), 0
			asking.Go(func() {
				for time.Since(returned) < 5*time.Second {
					sent := time.Now()
					text := fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\n\r\n", newID(), key)
					result := ask(address, text, time.Second)
					if result == "401" && sent.After(from) {
						late++
					}
					if result == "200" && learned == 0 {
						learned = sent.Sub(returned)
					}
					time.Sleep(time.Until(sent.Add(20 * time.Millisecond)))
				}
				mu.Lock()
				defer mu.Unlock()
				w.record.add("round %d: %s serves the key from %.2f s after the store's return on (%.2f s after the acknowledgement); refused with 401 when in touch: %d", round, p.name, learned.Seconds(), (learned - acked.Sub(returned)).Seconds(), late)
				broken += late
			})
		}
		asking.Wait()
		restarts.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	return broken > 0
}

// _kills are the machines that are killed in each round, and when after the store's return.
var _kills = [2]struct {
	machine int
	after   time.Duration
}{{0, 0}, {1, 900 * time.Millisecond}}
