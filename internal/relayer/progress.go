package relayer

import (
	"io"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// progress is how far a request has come. The goroutine that serves the request records it,
// and a shutdown reads it. It is safe for concurrent use.
type progress struct {
	mu    sync.Mutex
	state state
	// cancelWait ends what the request waits for.
	cancelWait func()
	// settled is true once a shutdown has interrupted the request.
	settled bool
}

// _sendingGap is how long an upstream that is sending data may pause, at a shutdown's limit.
const _sendingGap = 200 * time.Millisecond

// state is the state of a request. A time is zero until its event.
type state struct {
	id        string
	arrivedAt time.Time
	// completeAt is when the request was read whole.
	completeAt time.Time
	deadline   time.Time
	// sends counts the sends, and upstream is that of the latest one.
	sends    int
	upstream string
	// headReceived is true once that upstream has sent the head of its response.
	headReceived bool
	// dataAt is when that upstream last sent data, of a stream its head or a whole event; the
	// time of the send before that.
	dataAt time.Time
	// bytes counts what upstreams have sent of bodies.
	bytes int
	// events counts the events that were passed on to the caller.
	events int
	// begun is true once a response to the caller has begun.
	begun bool
	// waitsFor is why a stream that has broken off is not sent to another upstream yet; empty
	// while it is sent to one.
	waitsFor string
}

// update changes the state.
func (p *progress) update(change func(s *state)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.state)
}

// get returns the state.
func (p *progress) get() state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// recordSend records that a send to an upstream begins.
func (p *progress) recordSend(upstream string, now time.Time) {
	p.update(func(s *state) {
		s.sends++
		s.upstream, s.dataAt, s.headReceived, s.waitsFor = upstream, now, false, ""
	})
}

// recordHead records that the upstream has sent the head of its response.
func (p *progress) recordHead(now time.Time) {
	p.update(func(s *state) { s.dataAt, s.headReceived = now, true })
}

// begin records that a response to the caller begins. It returns false if a shutdown has
// settled the request, so that only a final response may be sent.
func (p *progress) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.begun = true
	return !p.settled
}

// onSettle sets what ends the request's waiting.
func (p *progress) onSettle(cancelWait func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelWait = cancelWait
}

// settle interrupts the request if a shutdown may settle it: any request if all is true, or
// else those whose upstream sends no data.
func (p *progress) settle(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled || p.state.begun || !all && now.Sub(p.state.dataAt) < _sendingGap {
		return
	}
	p.settled = true
	p.cancelWait()
}

// dataReader records the data that an upstream sends.
type dataReader struct {
	reader   io.Reader
	progress *progress
}

// Read reads data of the upstream.
func (r dataReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.progress.update(func(s *state) {
			s.dataAt = time.Now()
			s.bytes += n
		})
	}
	return n, err
}

// cutFields returns the fields of the log line of a request whose response a shutdown that
// began at beganAt cuts off at now.
func (s state) cutFields(beganAt, now time.Time) logger.Fields {
	f := logger.Fields{
		"request": s.id, "age_ms": now.Sub(s.arrivedAt).Milliseconds(), "sends": s.sends, "upstream": s.upstream,
		"head": s.headReceived, "begun": s.begun, "bytes": s.bytes, "events": s.events,
	}
	if !s.completeAt.IsZero() {
		f["complete_ms"] = s.completeAt.Sub(beganAt).Milliseconds()
		f["left_ms"] = s.deadline.Sub(now).Milliseconds()
	}
	if s.waitsFor != "" {
		f["waits_for"] = s.waitsFor
	}
	if s.sends > 0 {
		f["silent_ms"] = now.Sub(s.dataAt).Milliseconds()
	}
	return f
}

// requestSet holds the requests that are open. The zero value is ready for use. It is safe
// for concurrent use.
type requestSet struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
}

func (r *requestSet) add(p *progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = make(map[*progress]struct{})
	}
	r.requests[p] = struct{}{}
}

func (r *requestSet) remove(p *progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, p)
}

// list returns the open requests.
func (r *requestSet) list() []*progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*progress, 0, len(r.requests))
	for p := range r.requests {
		out = append(out, p)
	}
	return out
}
