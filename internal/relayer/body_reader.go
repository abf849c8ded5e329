package relayer

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// _maxPlainBody is the largest response body of a plain service, in bytes. A body
	// is read whole before any of it is passed on, so that the request can be sent to
	// another upstream if the body is broken.
	_maxPlainBody = 8 << 20
	// _smallBody is the size in bytes up to which a body is read whatever others take.
	_smallBody = 256 << 10
	// _maxLargeBodies is the most that all bodies over _smallBody may take together, in
	// bytes.
	_maxLargeBodies = 32 << 20
)

var (
	errBodyTooLarge  = errors.New("body is too large")
	errTooManyBodies = errors.New("too many large bodies are being read")
)

// bodyReader reads response bodies into memory, and bounds what large ones take together,
// since upstreams in trouble may send bodies without end. The zero value is ready for
// use. It is safe for concurrent use.
type bodyReader struct {
	large atomic.Int64 // bytes of the large bodies that are being read
}

// read reads a whole body.
func (b *bodyReader) read(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	n, err := io.CopyN(&body, r, _smallBody)
	if errors.Is(err, io.EOF) {
		return body.Bytes(), nil
	}
	if err != nil {
		return nil, err
	}
	reserved := int64(0)
	defer func() { b.large.Add(-reserved) }()
	for n <= _maxPlainBody {
		reserved += _smallBody
		if b.large.Add(_smallBody) > _maxLargeBodies {
			return nil, errTooManyBodies
		}
		m, err := io.CopyN(&body, r, _smallBody)
		n += m
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errBodyTooLarge
}
