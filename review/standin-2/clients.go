//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var _ids atomic.Int64

func newID() string { return fmt.Sprintf("%016x", _ids.Add(1)) }

// request returns a request of an ordinary client.
func request(kind, id, model string, events int, more string) string {
	switch kind {
	case "draft":
		body := strings.Repeat("p", 200)
		return fmt.Sprintf("POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nModel: %s\r\nToken-Usage: 100,%d\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n%s\r\n%s", id, _key, model, events, len(body), more, body)
	case "send":
		return fmt.Sprintf("POST /send/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\nContent-Length: 600\r\n%s\r\n%s", id, _key, more, strings.Repeat("b", 600))
	}
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\n%s\r\n", id, _key, more)
}

// ask sends one request on a new connection and returns what came of it: a status, or "none: "
// and the reason.
func ask(address, text string, limit time.Duration) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return "no answer"
	}
	method, _, _ := strings.Cut(text, " ")
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "broken answer"
	}
	return res.Status[:3]
}

// ordinary sends ordinary requests on new connections until stop, each client one after the
// other, and calls done with what came of each.
func ordinary(address string, clients int, pause time.Duration, stop <-chan struct{}, done func(id, result string)) *sync.WaitGroup {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for {
				id := newID()
				done(id, ask(address, request("read", id, "", 0, ""), 3*time.Second))
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return &all
}

// dialSmall connects as a client with small buffers: its receive buffer and its segments are
// small, as on a constrained device.
func dialSmall(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
		})
	}}
	return d.Dial("tcp", address)
}

// tally counts results.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int)
	}
	t.counts[result]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

func (t *tally) of(result string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[result]
}

func (t *tally) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, k := range t.counts {
		n += k
	}
	return n
}
