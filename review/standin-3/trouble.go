//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// eventsBeforeTrouble is how many events an engine in trouble still sends.
const eventsBeforeTrouble = 5

// noEvent is what an engine in trouble sends in a stream.
const noEvent = "these bytes are no event\n\n"

// sendNoEvents sends bytes that are no events until the caller closes.
func (f *fleet) sendNoEvents(ctx context.Context, w http.ResponseWriter) {
	for ctx.Err() == nil {
		time.Sleep(eventTime)
		if _, err := io.WriteString(w, noEvent); err != nil {
			break
		}
		if http.NewResponseController(w).Flush() != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}

// headRate is how many bytes of a head without end an engine sends a second.
const headRate = 2700

// trouble is what engines in trouble do.
type trouble string

const (
	troubleNone trouble = "none"
	// troubleHeads: they send heads without end, headRate bytes a second.
	troubleHeads trouble = "heads without end"
	// troubleBytes: they send bytes without end that are no answer.
	troubleBytes trouble = "bytes without end"
	// troubleEvents: they send bytes without end, with blank lines, after the first events of a
	// stream.
	troubleEvents trouble = "bytes without end in a stream"
)

// setTroubleModel limits the trouble to the heads of a model's groups.
func (f *fleet) setTroubleModel(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.troubleModel = name
}

// sendWithoutEnd sends the bytes of a server in trouble until the caller closes or the trouble
// ends.
func (f *fleet) sendWithoutEnd(ctx context.Context, w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	const pause = 50 * time.Millisecond
	out := ""
	for n := 0; ctx.Err() == nil; time.Sleep(pause) {
		switch f.currentTrouble() {
		case troubleNone:
			return
		case troubleHeads:
			if n == 0 {
				out = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n"
			}
			for len(out) < headRate/int(time.Second/pause) {
				out += fieldName(n) + ":\n"
				n++
			}
		case troubleBytes:
			out = strings.Repeat("no answer ", 100)
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
		out = ""
	}
}

// isInTrouble reports whether the engine is one of those in trouble. The caller holds the mutex.
func (e *engine) isInTrouble() bool {
	n, _ := strconv.Atoi(e.id[1:])
	if m := e.fleet.troubleModel; m != "" {
		return e.model == m
	}
	return n*7%10 < e.fleet.troubleTenths
}

func (f *fleet) currentTrouble() trouble {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trouble
}

// setTrouble sets what so many tenths of the engines do from now on.
func (f *fleet) setTrouble(t trouble, tenths int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trouble, f.troubleTenths = t, tenths
	who := fmt.Sprintf("%d in 10 engines", tenths)
	if f.troubleModel != "" {
		who = "the engines with model " + f.troubleModel
	}
	f.record.printf("trouble of %s: %s", who, t)
}

// fieldName returns the nth of the shortest names of fields.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const count = len(letters)
	if n < count*count {
		return string([]byte{letters[n/count], letters[n%count]})
	}
	n -= count * count
	return string([]byte{letters[n/count/count%count], letters[n/count%count], letters[n%count]})
}
