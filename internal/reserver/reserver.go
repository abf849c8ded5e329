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
)

var (
	// ErrFull means that there is no memory for a body now.
	ErrFull = errors.New("reserver: no memory for another body")
	// ErrRevoked means that a body that had stopped coming has lost its memory.
	ErrRevoked = errors.New("reserver: the body has stopped coming, and its memory was needed")
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

	// The reserver's lock guards the fields below.
	size       int64
	progressAt time.Time
	complete   bool
	isRevoked  bool
}

// Open returns a reservation without memory for a body of an owner. revoke is called, at
// most once and on another goroutine's behalf, when the body loses its memory; it must make
// the reading of the body fail, and not block.
func (r *Reserver) Open(owner string, revoke func(), now time.Time) *Reservation {
	x := &Reservation{reserver: r, owner: owner, revoke: revoke, progressAt: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reservations == nil {
		r.reservations, r.usedByOwner = make(map[*Reservation]struct{}), make(map[string]int64)
	}
	r.reservations[x] = struct{}{}
	return x
}

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
// stopped coming where that is needed. It fails with ErrFull or ErrRevoked.
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

// revokeStalled takes the memory of bodies that have stopped coming, those that stopped
// first at first, until the body fits. The caller holds the lock.
func (r *Reserver) revokeStalled(x *Reservation, size, more int64, now time.Time) {
	for !r.fits(x, size, more) {
		var oldest *Reservation
		for other := range r.reservations {
			if other == x || other.complete || other.isRevoked || other.size == 0 || now.Sub(other.progressAt) < _stallTime {
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

// add changes the memory of a body. The caller holds the lock.
func (r *Reserver) add(x *Reservation, more int64) {
	x.size += more
	r.used += more
	if r.usedByOwner[x.owner] += more; r.usedByOwner[x.owner] == 0 {
		delete(r.usedByOwner, x.owner)
	}
}

// Progress records that bytes of the body have arrived. It fails with ErrRevoked if the body
// has lost its memory.
func (x *Reservation) Progress(now time.Time) error {
	x.reserver.mu.Lock()
	defer x.reserver.mu.Unlock()
	if x.isRevoked {
		return ErrRevoked
	}
	x.progressAt = now
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
