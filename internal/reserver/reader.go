package reserver

import (
	"errors"
	"io"
	"time"
)

const (
	// _firstRead is the memory for a body of unknown size, or one over _ordinaryBody, before any
	// of it has arrived, in bytes. It doubles as the body comes, so that an announced size takes
	// nothing.
	_firstRead = 4 << 10
	// _ordinaryBody is the announced size up to which a body gets its memory at once, in bytes.
	_ordinaryBody = 16 << 10
	// _largestPiece is the size up to which the pieces of ReadPieces grow, in bytes.
	_largestPiece = 256 << 10
)

// Read reads a body whole. announced is its size in bytes; -1 if it is not known. The memory
// of the body stays granted until Close. Read fails with ErrFull, ErrRevoked or the error of
// body.
func (x *Reservation) Read(body io.Reader, announced int64) ([]byte, error) {
	size := int64(_firstRead)
	if announced >= 0 && announced <= _ordinaryBody {
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
		if revoked := x.Progress(n, time.Now()); revoked != nil {
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
			return nil, false, errors.Join(x.Progress(0, time.Now()), err)
		}
	}
	const factor, least = 2, _firstRead
	size := max(int64(cap(buffer))*factor, least)
	if announced > int64(len(buffer)) {
		size = min(size, announced)
	}
	window := x.nextWindow(size)
	// Both buffers are in use while the first is copied into the second.
	if err := x.Grow(size+int64(cap(buffer))+window, time.Now()); err != nil {
		return nil, false, err
	}
	if window > 0 && cap(buffer) <= _smallBody {
		x.widen()
	}
	grown = make([]byte, len(buffer), size)
	copy(grown, buffer)
	grown = append(grown, next[0])
	x.shrink(size, window)
	if errors.Is(err, io.EOF) {
		return grown, true, x.Complete()
	}
	return grown, false, err
}

// nextWindow returns the window of the body once it takes size bytes.
func (x *Reservation) nextWindow(size int64) int64 {
	if x.widen == nil || size <= _smallBody {
		return 0
	}
	return x.window
}

// ReadPieces reads a body of limit bytes at most in pieces, so that it takes little more than
// its size. The memory of the body stays granted until Close, and may be lost until then: call
// Progress as it is taken. Where there is no memory it calls wait, and tries again unless that
// returns false. It fails with ErrFull, ErrRevoked, ErrTooLarge or the error of body.
func (x *Reservation) ReadPieces(body io.Reader, limit int64, wait func() bool) ([][]byte, error) {
	var pieces [][]byte
	var piece []byte
	size, read := int64(0), int64(0)
	for {
		if len(piece) == cap(piece) {
			const factor = 2
			next := min(max(factor*int64(cap(piece)), _firstRead), _largestPiece)
			size += next
			if err := x.growOrWait(size, wait); err != nil {
				return nil, err
			}
			pieces, piece = append(pieces, nil), make([]byte, 0, next)
		}
		n, err := body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		pieces[len(pieces)-1] = piece
		if revoked := x.Progress(n, time.Now()); revoked != nil {
			return nil, revoked
		}
		if read += int64(n); read > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return pieces, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// resetPace begins to judge anew whether the body is stalled or slow: it has waited for memory.
func (x *Reservation) resetPace(now time.Time) {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	x.openedAt, x.progressAt, x.moved = now, now, 0
}

// growOrWait is Grow, tried again for as long as there is no memory and wait returns true.
func (x *Reservation) growOrWait(size int64, wait func() bool) error {
	for {
		err := x.Grow(size, time.Now())
		if !errors.Is(err, ErrFull) || !wait() {
			return err
		}
		x.resetPace(time.Now())
	}
}

// shrink lowers the memory of the body to size bytes and its window.
func (x *Reservation) shrink(size, window int64) {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	if !x.isRevoked && size+window < x.size {
		x.reserver.add(x, size+window-x.size)
		x.windowSize = window
	}
}
