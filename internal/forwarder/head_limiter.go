package forwarder

import (
	"errors"
	"io"
)

// _maxHeadBytes is the largest size, in bytes, of the head of a response together with
// the interim and stale responses before it. Up to _readBuffer bytes of the body
// count as well.
const _maxHeadBytes = 16 << 10

// errHeadTooLarge says that an upstream sent more than _maxHeadBytes without completing
// the head of a response.
var errHeadTooLarge = errors.New("head of the response is too large")

// headLimiter is the reader of a connection. While the head of a response is read, it
// fails after _maxHeadBytes: an upstream in trouble may send bytes without end.
type headLimiter struct {
	reader io.Reader
	// readingHead is true while the head of a response is read, and left is how many
	// bytes may still be read.
	readingHead bool
	left        int
}

// start begins the head of a response.
func (l *headLimiter) start() { l.readingHead, l.left = true, _maxHeadBytes }

// end ends the head of a response, so that a body of any size may follow.
func (l *headLimiter) end() { l.readingHead = false }

// Read reads from the connection, or returns errHeadTooLarge.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.readingHead && l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(b)
	if l.readingHead {
		l.left -= n
	}
	return n, err
}
