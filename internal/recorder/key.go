package recorder

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"
)

// ClockSkew is the greatest difference between two clocks that keys allow for.
const ClockSkew = 5 * time.Minute

// Errors of CheckKey.
var (
	// ErrKeyExpired says that the key is older than its record is kept.
	ErrKeyExpired = errors.New("key is older than calls are remembered")
	// ErrKeyInFuture says that the key's time is yet to come.
	ErrKeyInFuture = errors.New("key's time is in the future")
)

// KeyTime returns the time that a key carries, and false for a key without one.
// A UUID of version 7 carries its time.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	// The first 48 bits are milliseconds since the epoch.
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
}

// CheckKey refuses a key whose record may be gone already, or could be gone
// before the key is too old: one older than retention or than through, up to
// which records were trimmed, and one from the future. A key that carries no
// time is always accepted.
func CheckKey(key string, now time.Time, retention time.Duration, through time.Time) error {
	at, ok := KeyTime(key)
	switch {
	case !ok:
		return nil
	case at.Before(now.Add(-retention)) || at.Before(through.Add(ClockSkew)):
		return ErrKeyExpired
	case at.After(now.Add(ClockSkew)):
		return ErrKeyInFuture
	}
	return nil
}
