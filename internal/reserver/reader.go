package reserver

import (
	"errors"
	"io"
	"time"
)

// _firstRead is the memory for a body of unknown size, or a large one, before any of it has
// arrived, in bytes. It doubles as the body comes, so that an announced size takes nothing.
const _firstRead = 4 << 10

// Read reads a body whole. announced is its size in bytes; -1 if it is not known. The memory
// of the body stays granted until Close. Read fails with ErrFull, ErrRevoked or the error of
// body.
func (x *Reservation) Read(body io.Reader, announced int64) ([]byte, error) {
	size := int64(_firstRead)
	if announced >= 0 && announced <= _smallBody {
		size = announced
	}
	if err := x.Grow(size, time.Now()); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			grown, done, err := x.grow(body, buffer, announced)
			if done || err != nil {
				return grown, err
			}
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if revoked := x.Progress(time.Now()); revoked != nil {
			return nil, revoked
		}
		if errors.Is(err, io.EOF) {
			return buffer, x.Complete()
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a full buffer with room for more of the body, or the buffer itself and true
// if the body has ended.
func (x *Reservation) grow(body io.Reader, buffer []byte, announced int64) (grown []byte, done bool, err error) {
	// A body that fills the buffer has often ended: look before more memory is taken.
	var next [1]byte
	n := 0
	for n == 0 {
		n, err = body.Read(next[:])
		if n == 0 && errors.Is(err, io.EOF) {
			return buffer, true, x.Complete()
		}
		if n == 0 && err != nil {
			return nil, false, errors.Join(x.Progress(time.Now()), err)
		}
	}
	const factor, least = 2, _firstRead
	size := max(int64(cap(buffer))*factor, least)
	if announced > int64(len(buffer)) {
		size = min(size, announced)
	}
	// Both buffers are in use while the first is copied into the second.
	if err := x.Grow(size+int64(cap(buffer)), time.Now()); err != nil {
		return nil, false, err
	}
	grown = make([]byte, len(buffer), size)
	copy(grown, buffer)
	grown = append(grown, next[0])
	x.shrink(size)
	if errors.Is(err, io.EOF) {
		return grown, true, x.Complete()
	}
	return grown, false, err
}

// shrink lowers the memory of the body to size bytes.
func (x *Reservation) shrink(size int64) {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	if !x.isRevoked && size < x.size {
		x.reserver.add(x, size-x.size)
	}
}
