package forwarder

import (
	"errors"
	"io"
)

// _maxHeadBytes is the largest size, in bytes, of the head of a response together with
// the interim and stale responses before it. Up to _readBuffer bytes of the body
// count as well.
const _maxHeadBytes = 16 << 10

// _maxHeadLines is the largest number of lines of one head. Each takes over a hundred bytes once
// it is parsed, however short it is.
const _maxHeadLines = 128

// errHeadTooLarge says that an upstream sent more than _maxHeadBytes or _maxHeadLines without
// completing the head of a response.
var errHeadTooLarge = errors.New("head of the response is too large")

// headLimiter is the reader of a connection. While the head of a response is read, it
// fails after _maxHeadBytes: an upstream in trouble may send bytes without end.
type headLimiter struct {
	reader io.Reader
	// readingHead is true while the head of a response is read, and left is how many
	// bytes may still be read.
	readingHead bool
	left        int
	// lines counts the lines of the present head, and lineBytes the bytes of its last one.
	// inLines is false once a blank line has ended the head.
	lines, lineBytes int
	inLines          bool
}

// start begins the head of a response.
func (l *headLimiter) start() { l.readingHead, l.left = true, _maxHeadBytes }

// beginLines begins to count the lines of another head, of which buffered has been read already.
func (l *headLimiter) beginLines(buffered []byte) error {
	l.lines, l.lineBytes, l.inLines = 0, 0, true
	return l.countLines(buffered)
}

// countLines counts the lines in bytes of the head, and returns errHeadTooLarge if they are more
// than _maxHeadLines.
func (l *headLimiter) countLines(b []byte) error {
	for _, c := range b {
		switch {
		case !l.inLines:
			return nil
		case c == '\n' && l.lineBytes == 0:
			// Blank lines before the first one do not end a head.
			l.inLines = l.lines == 0
		case c == '\n':
			l.lines++
			l.lineBytes = 0
		case c != '\r':
			l.lineBytes++
		}
	}
	if l.lines > _maxHeadLines {
		return errHeadTooLarge
	}
	return nil
}

// end ends the head of a response, so that a body of any size may follow.
func (l *headLimiter) end() { l.readingHead, l.inLines = false, false }

// Read reads from the connection, or returns errHeadTooLarge.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.readingHead && l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(b)
	if !l.readingHead {
		return n, err
	}
	l.left -= n
	if tooMany := l.countLines(b[:n]); tooMany != nil {
		return 0, tooMany
	}
	return n, err
}
