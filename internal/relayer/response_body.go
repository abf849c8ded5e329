package relayer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
)

// _maxPlainBody is the largest response body of a plain service, in bytes. A body is read whole
// before any of it is passed on, so that the request can be sent to another upstream if the body
// is broken.
const _maxPlainBody = 8 << 20

// _memoryPause is the time between two looks whether there is memory for a response.
const _memoryPause = 20 * time.Millisecond

// responseBody is the body of a response that was read whole. Close returns its memory.
type responseBody struct {
	pieces [][]byte
	memory *reserver.Reservation
}

// readResponse reads the body of a response whole, and waits for memory where there is none: the
// upstream has run the request. A caller who does not take the response may
// lose it to others who need the memory.
func (c *call) readResponse(body io.Reader) (*responseBody, error) {
	control := http.NewResponseController(c.w)
	past := time.Unix(1, 0)
	revoke := func() { _ = control.SetWriteDeadline(past) } // an error means that the connection is closed
	b := &responseBody{memory: c.Responses.Open(c.request.ID, revoke, time.Now())}
	var err error
	wait := func() bool { return pauser.Pause(c.ctx, _memoryPause) }
	if b.pieces, err = b.memory.ReadPieces(body, _maxPlainBody, wait); err != nil {
		b.Close()
		return nil, fmt.Errorf("read the body: %w", err)
	}
	return b, nil
}

// Close returns the memory of the body.
func (b *responseBody) Close() { b.memory.Close() }

// size returns the size of the body in bytes.
func (b *responseBody) size() int {
	n := 0
	for _, p := range b.pieces {
		n += len(p)
	}
	return n
}

// writeTo writes the body to the caller, and releases it as it is taken.
func (b *responseBody) writeTo(w io.Writer) error {
	for i, p := range b.pieces {
		if _, err := w.Write(p); err != nil {
			return errors.Join(b.memory.Progress(0, time.Now()), err)
		}
		b.pieces[i] = nil
		if err := b.memory.Progress(len(p), time.Now()); err != nil {
			return err
		}
	}
	return nil
}
