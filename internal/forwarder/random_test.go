package forwarder_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
)

var (
	_firstSeed = flag.Uint64("forwarder.first-seed", 1, "first seed of TestRandomResponses")
	_seeds     = flag.Uint64("forwarder.seeds", 200, "number of seeds of TestRandomResponses")
)

const (
	_randomUpstream = "10.0.0.2:80"
	_randomSends    = 100
)

// randomUpstream answers requests at random: it runs or refuses them, loses or truncates
// responses, and adds copies of earlier responses of the connection, torn ones, ones without
// an id, and bytes that are no response.
type randomUpstream struct {
	seed uint64

	mu sync.Mutex
	// ran tells for each send that arrived whether it was run.
	ran map[string]bool
}

func (u *randomUpstream) serve(l net.Listener) {
	for n := uint64(0); ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c, rand.New(rand.NewPCG(u.seed, n)))
	}
}

func (u *randomUpstream) serveConn(c net.Conn, random *rand.Rand) {
	writes := make(chan string, 1000)
	defer close(writes)
	go func() {
		defer c.Close()
		for text := range writes {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}()
	var earlier []string
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := u.respond(req, random.IntN(3) > 0)
		extra := ""
		for random.IntN(3) == 0 {
			extra += extraBytes(earlier, random)
		}
		switch random.IntN(12) {
		case 0:
			return
		case 1:
			writes <- extra + response[:random.IntN(len(response))]
			return
		case 2:
			writes <- extra + response + extraBytes(append(earlier, response), random)
		case 3:
			writes <- extra + response
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			writes <- extraBytes(append(earlier, response), random)
		default:
			writes <- extra + response
		}
		earlier = append(earlier, response)
	}
}

// respond runs or refuses a request, and returns the response.
func (u *randomUpstream) respond(req *http.Request, run bool) string {
	serial := req.Header.Get("Serial")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[serial] = run
	head := fmt.Sprintf("Id: %s\r\nSerial: %s\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), serial, len(serial))
	if !run {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + head + serial
	}
	return "HTTP/1.1 200 OK\r\nSeal: s\r\n" + head + serial
}

// extraBytes returns bytes that belong to no request.
func extraBytes(earlier []string, random *rand.Rand) string {
	if len(earlier) == 0 || random.IntN(8) == 0 {
		return strings.Repeat("x\r\n", random.IntN(4))
	}
	text := earlier[random.IntN(len(earlier))]
	switch random.IntN(6) {
	case 0:
		return text[:random.IntN(len(text))]
	case 1:
		before, after, _ := strings.Cut(text, "Id: ")
		_, after, _ = strings.Cut(after, "\r\n")
		return before + after
	case 2:
		return text + text
	default:
		return text
	}
}

// randomSend is a send whose response is being read.
type randomSend struct {
	serial   string
	exchange *forwarder.Exchange
}

// Whatever an upstream sends on its connections, no send gets the response to another one,
// or a status that the upstream did not give it, and one that is said not to have been sent
// has not arrived.
func TestRandomResponses(t *testing.T) {
	answered := uint64(0)
	for seed := *_firstSeed; seed < *_firstSeed+*_seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			answered += sendAtRandom(t, seed)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	assert.Greater(t, answered, *_seeds*_randomSends/2)
}

// sendAtRandom sends _randomSends requests and returns how many got a response.
func sendAtRandom(t *testing.T, seed uint64) uint64 {
	var network memorynet.Network
	u := &randomUpstream{seed: seed, ran: make(map[string]bool)}
	l, err := network.Host("10.0.0.2", 100*time.Microsecond).Listen("tcp", _randomUpstream)
	require.NoError(t, err)
	go u.serve(l)
	p := &forwarder.Pool{Network: network.Host("10.0.0.1", 110*time.Microsecond)}
	random := rand.New(rand.NewPCG(seed, 1<<32))
	var open []randomSend
	var unsent []string
	answered := uint64(0)
	for n := range _randomSends {
		serial := strconv.Itoa(n)
		x, err := sendSerial(t.Context(), p, strconv.Itoa(random.IntN(12)), serial, random.IntN(2) == 0)
		var f *forwarder.ExchangeError
		switch {
		case err == nil:
			u.checkHead(t, serial, x.Response)
			open = append(open, randomSend{serial, x})
			answered++
		case assert.ErrorAs(t, err, &f) && !f.Sent:
			unsent = append(unsent, serial)
		}
		for len(open) > random.IntN(4) {
			k := random.IntN(len(open))
			checkBody(t, open[k], random.IntN(8) == 0)
			open = append(open[:k], open[k+1:]...)
		}
		time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
	}
	for _, s := range open {
		checkBody(t, s, false)
	}
	require.NoError(t, p.Close())
	network.CloseHost("10.0.0.2")
	time.Sleep(time.Second) // until all connections have ended
	for _, serial := range unsent {
		assert.NotContains(t, u.ran, serial, "a send that is said not to have been sent has arrived")
	}
	return answered
}

// sendSerial sends a request with an id, which others may have too, and a serial number of
// its own.
func sendSerial(ctx context.Context, p *forwarder.Pool, id, serial string, once bool) (*forwarder.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	x, err := p.Send(ctx, _randomUpstream, &forwarder.Request{
		Method: http.MethodGet, Target: "/", Host: "h", ID: id, Once: once, Header: http.Header{"Id": {id}, "Serial": {serial}},
		Matches: func(h http.Header, reused bool) bool { return h.Get("Id") == id || h.Get("Id") == "" && !reused },
	})
	if err != nil {
		cancel()
		return nil, err
	}
	// The bound holds for the body too.
	context.AfterFunc(ctx, cancel)
	return x, nil
}

// checkHead checks that a response is that to the send with a serial number.
func (u *randomUpstream) checkHead(t *testing.T, serial string, r *http.Response) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ran, arrived := u.ran[serial]
	want := http.StatusServiceUnavailable
	if ran {
		want = http.StatusOK
	}
	assert.True(t, arrived)
	assert.Equal(t, serial, r.Header.Get("Serial"))
	assert.Equal(t, want, r.StatusCode)
	assert.Equal(t, !ran, r.Header.Get("Not-Run") != "")
}

// checkBody reads the body of a response, unless it is left unread, and ends the exchange.
func checkBody(t *testing.T, s randomSend, unread bool) {
	defer func() { _ = s.exchange.Close() }() // the connection is not reused if closing fails
	if unread {
		return
	}
	if body, err := io.ReadAll(s.exchange); err == nil {
		assert.Equal(t, s.serial, string(body))
	}
}
