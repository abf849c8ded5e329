package forwarder

import (
	"bytes"
	"errors"
)

// errFilled is the error of a body that ended early and was filled up with the beginning of
// another response.
var errFilled = errors.New("forwarder: the end of the body belongs to another response")

// _statusLineBytes is the length of what _statusLine matches.
const _statusLineBytes = len("HTTP/1.1 200")

// statusLineFinder looks for the beginning of a response in a body that is read in parts. The
// zero value is ready for use.
type statusLineFinder struct {
	found bool
	// tail has the last bytes of the body, fewer than a status line has.
	tail []byte
}

// add looks at the next bytes: at those that follow the earlier ones, and at all by
// themselves.
func (f *statusLineFinder) add(b []byte) {
	if f.found {
		return
	}
	seam := append(f.tail, b[:min(len(b), _statusLineBytes-1)]...)
	f.found = containsStatusLine(seam) || containsStatusLine(b)
	if len(b) >= _statusLineBytes-1 {
		seam = b
	}
	f.tail = bytes.Clone(seam[max(0, len(seam)-_statusLineBytes+1):])
}

// isFilled reports whether the body of the response, which was read to its end, contains the
// beginning of another response, and the rest of that follows. An upstream in trouble may
// break a body off before its length and then send a copy of an earlier response. A body that
// merely has a status line in its text is followed by nothing.
func (x *Exchange) isFilled() bool {
	following := x.following()
	if len(following) == 0 {
		return false
	}
	x.statusLine.add(following)
	return x.statusLine.found
}

// following returns the first bytes that have arrived behind the response, fewer than a
// status line has.
func (x *Exchange) following() []byte {
	r := x.conn.reader
	if r.Buffered() == 0 {
		if n, err := peekSocket(x.conn); n <= 0 || err != nil {
			return nil
		}
		if _, err := r.Peek(1); err != nil {
			return nil
		}
	}
	b, _ := r.Peek(min(r.Buffered(), _statusLineBytes-1)) // they are buffered
	return b
}
