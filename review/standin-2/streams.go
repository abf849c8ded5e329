//go:build review2

package main

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// playStreams: a client that we don't control asks one machine for drafts of one model, and
// does not read them. Ordinary clients ask all machines for drafts of that model.
func playStreams(w *world, trouble bool) bool {
	const (
		slots  = 26
		settle = 25 * time.Second // the streams of the other client have all reached their timeout by then
		judged = 20 * time.Second
	)
	w.addEngines(20 * time.Millisecond)
	for _, z := range []string{"a", "b"} {
		w.addPlain("p-"+z, serve(&stub.PlainUpstream{ID: "p-" + z, ServiceTime: 20 * time.Millisecond, DataCentre: z}), z)
	}
	w.configure(3)
	machines := []*machine{w.start("front-a-1", "a", 8220), w.start("front-b-1", "b", 8230)}
	for _, m := range machines {
		m.awaitReady(10 * time.Second)
	}
	heads := 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && heads < 2; time.Sleep(100 * time.Millisecond) {
		heads = len(w.cluster.OpenHeads("small"))
	}
	time.Sleep(2 * time.Second)
	heads = len(w.cluster.OpenHeads("small"))
	w.record.add("%d groups serve the model, with %d slots each", heads, slots)

	var results [2]atomic.Pointer[tally]
	stop := make(chan struct{})
	for i, m := range machines {
		results[i].Store(&tally{})
		for range 4 {
			go func() {
				for {
					result := ask(m.callers, request("draft", newID(), "small", 10, ""), 8*time.Second)
					results[i].Load().add(result)
					select {
					case <-stop:
						return
					case <-time.After(300 * time.Millisecond):
					}
				}
			}()
		}
	}
	// report records what came of the ordinary drafts, and returns what did at the machine
	// that the other client uses.
	report := func(what string) *tally {
		var out [2]*tally
		for i, m := range machines {
			out[i] = results[i].Swap(&tally{})
			w.record.add("%s: ordinary drafts at %s: %s", what, m.name, out[i])
		}
		return out[0]
	}
	time.Sleep(3 * time.Second)
	report("calm, 3 s")

	var conns []net.Conn
	for n := range heads*slots + slots {
		c, err := dialSmall(machines[0].callers)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		id := newID() + strings.Repeat("0", 300) // the server repeats it in each event
		if !trouble {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		for k := range 3 {
			_, _ = io.WriteString(c, request("draft", id+string(rune('a'+k)), "small", 250, ""))
		}
		if n%10 == 9 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record.add("the other client has asked %s for 3 drafts on each of %d connections; it reads them: %t", machines[0].name, len(conns), !trouble)
	time.Sleep(settle)
	report("25 s of it")
	time.Sleep(judged)
	last := report("the next 20 s")
	w.record.add("%s is ready: %t", machines[0].name, machines[0].isReady())
	close(stop)
	for _, c := range conns {
		_ = c.Close()
	}
	return last.of("200") == 0 && last.total() > 0
}
