//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playLargeBodies: many clients come at once, with bodies that the limits of the
// configuration allow. LOST: a machine in touch passes a request from a kept connection on
// to a sound server and closes that connection without an answer, more than three times. A
// process over its memory is killed, which counts as one that ends by itself, and so as in
// touch.
func playLargeBodies(w *world) (bool, error) {
	const (
		allowed = 3
		calm    = 3 * time.Second
		burst   = 12 * time.Second
		// Clients that come at once at the one machine, and what each of them sends in
		// each request and in how long.
		uploaders = 40
		large     = 4 << 20
		upload    = 4 * time.Second
		small     = 4 << 10
		piece     = 16 << 10
		// Clients that send requests that must not be repeated, each on its connection.
		senders = 10
	)
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-51c0aa17"} {
		if _, err := newPlainServer(w, id, "a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if _, err := newEngines(w, map[string]string{"d0": "a"}, 11); err != nil {
		return false, err
	}
	w.store.Put("config", "main", configuration())
	m, err := w.addMachine("front-a-0", "a")
	if err != nil {
		return false, err
	}
	if err := m.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	draft := func(n, length int) *request {
		q := newRequest("/draft/2f", 8*time.Second)
		q.model, q.prompt = "small", fmt.Sprintf("5c1e07a2:40,%08x:1420", n)
		q.body, q.length = &slowBody{left: length, pace: upload * piece / large}, int64(length)
		q.send(w, newClient(), m)
		return q
	}
	if err := awaitServed(func(n int) bool {
		q := draft(n, small)
		return q.status == 200 && q.whole
	}); err != nil {
		return false, err
	}
	watch := newMemoryWatch(w, m)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var sends, drafts []*request
	for range senders {
		group.Go(func() {
			client := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				q := newRequest("/send/2f", 3*time.Second)
				q.send(w, client, m)
				mu.Lock()
				sends = append(sends, q)
				mu.Unlock()
			}
		})
	}
	time.Sleep(calm)
	length := small
	if w.trouble {
		length = large
	}
	end := time.Now().Add(burst)
	for n := range uploaders {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				q := draft(1<<20+n<<8+i, length)
				mu.Lock()
				drafts = append(drafts, q)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(end) + calm)
	close(stop)
	group.Wait()
	peak, kills := watch.stop()
	lost := 0
	for _, q := range sends {
		if q.status != 0 || !q.kept {
			continue
		}
		for _, s := range w.plain {
			if _, ran := s.ranAt(q.id); ran {
				lost++
				w.record.add("%s ran at %s, and its client got no answer", q.id, s.id)
			}
		}
	}
	w.record.note("sends: %d, drafts: %d of %d bytes; peak memory of the process: %d MB of %d, killed for it: %d times; sends on kept connections that ran at a sound server, with their connection closed without an answer: %d (allowed: %d)",
		len(sends), len(drafts), length, peak>>20, memoryMb, kills, lost, allowed)
	return lost > allowed, nil
}

// slowBody is a body that a client sends in pieces of 16 KB, one in each pace.
type slowBody struct {
	left int
	pace time.Duration
}

var _piece = bytes.Repeat([]byte("x"), 16<<10)

func (b *slowBody) Read(into []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := copy(into, _piece[:min(len(_piece), b.left)])
	b.left -= n
	time.Sleep(b.pace)
	return n, nil
}

// memoryWatch does what the platform does with a process that exceeds memoryMb: it kills
// it, and starts it again after a short delay.
type memoryWatch struct {
	quit chan struct{}
	done chan struct{}
	// peak is in bytes.
	peak  int64
	kills int
}

func newMemoryWatch(w *world, m *machine) *memoryWatch {
	x := &memoryWatch{quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(x.done)
		for {
			select {
			case <-x.quit:
				return
			case <-time.After(10 * time.Millisecond):
			}
			size := residentBytes(m.pid())
			x.peak = max(x.peak, size)
			if size <= memoryMb<<20 {
				continue
			}
			x.kills++
			w.record.add("%s uses %d MB of its %d and is killed", m.name, size>>20, memoryMb)
			m.kill()
			<-m.exited
			time.Sleep(time.Second)
			if err := m.start(); err != nil {
				w.record.add("start %s: %v", m.name, err)
				return
			}
		}
	}()
	return x
}

func (x *memoryWatch) stop() (peak int64, kills int) {
	close(x.quit)
	<-x.done
	return x.peak, x.kills
}

// residentBytes returns the memory that a process uses, without the pages of its program file,
// or 0 if it has ended.
func residentBytes(pid int) int64 {
	if pid == 0 {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}
