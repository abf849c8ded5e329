//go:build review

package main

import (
	"sync"
	"time"
)

// playLeaving: a server leaves and says so in all its answers, while the machine can't
// reach the store. DRAIN: no request that a client sent later than drainMs after the
// machine had passed on such an answer reaches that server from that machine.
func playLeaving(w *world) (bool, error) {
	const (
		drain  = 2 * time.Second
		calm   = 4 * time.Second
		cutFor = 5500 * time.Millisecond
		// The server begins to leave so long after the cut, and exits so long after that.
		leaveAfter = 500 * time.Millisecond
		exitAfter  = 4 * time.Second
		pause      = 15 * time.Millisecond
	)
	var servers []*plainServer
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-51c0aa17"} {
		s, err := newPlainServer(w, id, "a", 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	w.store.Put("config", "main", configuration())
	m, err := w.addMachine("front-a-0", "a")
	if err != nil {
		return false, err
	}
	if err := m.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	client := newClient()
	var group sync.WaitGroup
	var mu sync.Mutex
	var requests []*request
	stop := make(chan struct{})
	group.Go(func() {
		for t := time.NewTicker(pause); ; {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			group.Go(func() {
				q := newRequest("/send/2f", 3*time.Second)
				q.send(w, client, m)
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, q)
			})
		}
	})
	time.Sleep(calm)
	if w.trouble {
		w.record.add("the machine is partitioned from the store")
		m.store.setCut(true)
	}
	cutAt := time.Now()
	time.Sleep(leaveAfter)
	leaver := servers[0]
	leaver.leave()
	w.record.add("%s leaves, and says so in its entry and in its answers", leaver.id)
	time.Sleep(exitAfter)
	w.record.add("%s exits", leaver.id)
	leaver.exit()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	m.store.setCut(false)
	w.record.add("the machine reaches the store again")
	time.Sleep(calm)
	close(stop)
	group.Wait()

	// When the first answer that says so had reached a client.
	var told time.Time
	for _, q := range requests {
		if at := q.sentAt.Add(q.took); q.leaving && (told.IsZero() || at.Before(told)) {
			told = at
		}
	}
	if told.IsZero() {
		w.record.note("no answer with Server-Leaving was passed on")
		return false, nil
	}
	late, lost, results := 0, 0, make(map[int]int)
	arrivals := leaver.arrivals()
	for _, q := range requests {
		results[q.status]++
		_, reached := arrivals[q.id]
		if reached && q.sentAt.After(told.Add(drain)) {
			late++
		}
		if _, ran := leaver.ranAt(q.id); ran && !q.whole || ran && q.status != 200 {
			lost++
			w.record.add("%s ran at the server that left, and its client got status %d", q.id, q.status)
		}
	}
	w.record.note("requests: %d, by status %v; sent later than %s after an answer with Server-Leaving had been passed on, and reached that server: %d; of the requests that ran there, not answered: %d",
		len(requests), results, drain, late, lost)
	return late > 0, nil
}
