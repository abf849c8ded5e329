package reserver

import (
	"errors"
	"sync"
	"time"
)

const (
	// _smallBody is the size in bytes up to which a body counts as small.
	_smallBody = 64 << 10
	// _largeShare is the part of the memory that large bodies take at most, and _ownerShare
	// the part that the large bodies of one owner take.
	_largeShare = 0.75
	_ownerShare = 0.5
	// _stallTime is how long no byte of a body must have arrived before the body may lose
	// its memory. A lossy network repeats what was lost sooner.
	_stallTime = 700 * time.Millisecond
	// _minRate is the mean rate, in bytes per second, below which a body that has come for
	// _slowTime counts as slow. At this rate a body of _smallBody takes eight seconds.
	_minRate  = 8 << 10
	_slowTime = time.Second
)

var (
	// ErrFull means that there is no memory for a body now.
	ErrFull = errors.New("reserver: no memory for another body")
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("reserver: the body is too large")
	// ErrRevoked means that a body that had stopped coming, or came slowly, has lost its memory.
	ErrRevoked = errors.New("reserver: the body has stopped coming or is slow, and its memory was needed")
)

// Reserver grants memory to bodies. Set Limit before use. It is safe for concurrent use.
type Reserver struct {
	// Limit is the memory of all bodies together, in bytes; 0 means no limit.
	Limit int64

	mu           sync.Mutex
	used         int64
	usedByOwner  map[string]int64
	reservations map[*Reservation]struct{}
	revoked      int64 // bodies that have lost their memory
}

// Reservation is the memory of one body.
type Reservation struct {
	reserver *Reserver
	owner    string
	revoke   func()

	// window is what a large body takes besides its size until it is complete, in bytes.
	window int64
	widen  func()

	// The reserver's lock guards the fields below.
	size       int64
	openedAt   time.Time
	progressAt time.Time
	// windowSize is the part of size that is the window.
	windowSize int64
	// moved counts the bytes that have come or were taken.
	moved     int64
	complete  bool
	isRevoked bool
}

// Open returns a reservation without memory for a body of an owner. revoke is called, at
// most once and on another goroutine's behalf, when the body loses its memory; it must make
// the reading of the body fail, and not block.
func (r *Reserver) Open(owner string, revoke func(), now time.Time) *Reservation {
	x := &Reservation{reserver: r, owner: owner, revoke: revoke, openedAt: now, progressAt: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reservations == nil {
		r.reservations, r.usedByOwner = make(map[*Reservation]struct{}), make(map[string]int64)
	}
	r.reservations[x] = struct{}{}
	return x
}

// Widen sets what happens before a body becomes large: it takes window more bytes until it is
// complete, and widen is called. Call it before Read.
func (x *Reservation) Widen(window int64, widen func()) { x.window, x.widen = window, widen }

// Used returns the memory that is granted, in bytes.
func (r *Reserver) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Revoked returns how many bodies have lost their memory.
func (r *Reserver) Revoked() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revoked
}

// Grow raises the memory of the body to size bytes. It takes the memory of bodies that have
// stopped coming or are slow where that is needed. It fails with ErrFull or ErrRevoked.
func (x *Reservation) Grow(size int64, now time.Time) error {
	r := x.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.isRevoked {
		return ErrRevoked
	}
	more := size - x.size
	if more <= 0 {
		return nil
	}
	if r.Limit > 0 && !r.fits(x, size, more) {
		r.revokeStalled(x, size, more, now)
		if !r.fits(x, size, more) {
			return ErrFull
		}
	}
	r.add(x, more)
	return nil
}

// fits reports whether a body may grow by more bytes to size. The caller holds the lock.
func (r *Reserver) fits(x *Reservation, size, more int64) bool {
	if size <= _smallBody {
		return r.used+more <= r.Limit
	}
	return r.used+more <= int64(_largeShare*float64(r.Limit)) && r.usedByOwner[x.owner]+more <= int64(_ownerShare*float64(r.Limit))
}

// revokeStalled takes the memory of bodies that have stopped coming or are slow, those whose
// last bytes came first at first, until the body fits. The caller holds the lock.
func (r *Reserver) revokeStalled(x *Reservation, size, more int64, now time.Time) {
	for !r.fits(x, size, more) {
		var oldest *Reservation
		for other := range r.reservations {
			if other == x || other.complete || other.isRevoked || other.size == 0 || !other.isStalled(now) && !other.isSlow(now) {
				continue
			}
			if oldest == nil || other.progressAt.Before(oldest.progressAt) {
				oldest = other
			}
		}
		if oldest == nil {
			return
		}
		oldest.isRevoked = true
		r.revoked++
		r.add(oldest, -oldest.size)
		oldest.revoke()
	}
}

// isStalled reports whether no byte has come for a while. The caller holds the lock.
func (x *Reservation) isStalled(now time.Time) bool { return now.Sub(x.progressAt) >= _stallTime }

// isSlow reports whether the body has come slowly since its beginning. The caller holds the lock.
func (x *Reservation) isSlow(now time.Time) bool {
	d := now.Sub(x.openedAt)
	return d >= _slowTime && float64(x.moved) < _minRate*d.Seconds()
}

// add changes the memory of a body. The caller holds the lock.
func (r *Reserver) add(x *Reservation, more int64) {
	x.size += more
	r.used += more
	if r.usedByOwner[x.owner] += more; r.usedByOwner[x.owner] == 0 {
		delete(r.usedByOwner, x.owner)
	}
}

// Progress records that n bytes of the body have come, or that as many were taken of it by whom
// it is for. It fails with ErrRevoked if the body has lost its memory.
func (x *Reservation) Progress(n int, now time.Time) error {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	if x.isRevoked {
		return ErrRevoked
	}
	x.progressAt = now
	x.moved += int64(n)
	return nil
}

// Complete records that the whole body has arrived, so that it keeps its memory until Close.
// It fails with ErrRevoked if the body has lost it already.
func (x *Reservation) Complete() error {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	if x.isRevoked {
		return ErrRevoked
	}
	x.complete = true
	x.reserver.add(x, -x.windowSize)
	x.windowSize = 0
	return nil
}

// Close returns the memory.
func (x *Reservation) Close() {
	r := x.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(x, -x.size)
	delete(r.reservations, x)
}
