//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// playHeaders: a client that we don't control opens connections, and sends on each the
// beginning of a request with many short header fields, without its end. The platform kills a
// process that takes more memory than its machine has.
func playHeaders(w *world, trouble bool) bool {
	const (
		connections = 1600
		headBytes   = 16_000          // below maxHeaderBytes, which is 16,384
		spread      = 4 * time.Second // in which they are opened
		watched     = 14 * time.Second
	)
	for _, z := range []string{"a", "b"} {
		w.addPlain("p-"+z, serve(&stub.PlainUpstream{ID: "p-" + z, ServiceTime: 20 * time.Millisecond, DataCentre: z}), z)
	}
	w.configure(3)
	m := w.start("front-a-1", "a", 8220)
	m.awaitReady(10 * time.Second)
	var results atomic.Pointer[tally]
	results.Store(&tally{})
	stop := make(chan struct{})
	all := ordinary(m.callers, 8, 100*time.Millisecond, stop, func(_, result string) { results.Load().add(result) })
	time.Sleep(2 * time.Second)
	w.record.add("calm, 2 s: %.0f MiB in use; ordinary requests: %s", m.memoryMB(), results.Swap(&tally{}))

	var head strings.Builder
	head.WriteString("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n")
	for n := 0; trouble && head.Len() < headBytes; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	var mu sync.Mutex
	var conns []net.Conn
	var opening sync.WaitGroup
	began := time.Now()
	for n := range connections {
		opening.Go(func() {
			time.Sleep(spread * time.Duration(n) / connections)
			c, err := net.DialTimeout("tcp", m.callers, time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, head.String()) // fails once the process has been killed
		})
	}
	most, killed := 0.0, false
	for next := time.Duration(0); time.Since(began) < watched; time.Sleep(50 * time.Millisecond) {
		now := m.memoryMB()
		most = max(most, now)
		if time.Since(began) >= next {
			mu.Lock()
			w.record.add("%d connections: %.0f MiB in use", len(conns), now)
			mu.Unlock()
			next += time.Second
		}
		if now > _memoryMB && !killed {
			killed = true
			w.record.add("%s uses %.0f MiB; its machine has %d: the platform kills it", m.name, now, _memoryMB)
			m.signal(syscall.SIGKILL)
		}
	}
	opening.Wait()
	w.record.add("the other client has sent %d bytes of a head on each of %d connections; at most %.0f MiB were in use", head.Len(), len(conns), most)
	close(stop)
	all.Wait()
	w.record.add("ordinary requests meanwhile: %s", results.Load())
	for _, c := range conns {
		_ = c.Close()
	}
	return killed
}
