package gossiper

import (
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _changesPause and _wholePause are how long a peer that still lacks a
	// number is left alone after it was sent the changes or the whole
	// configuration: it may refuse what it was sent, and must not get it without
	// end.
	_changesPause = 2 * time.Second
	_wholePause   = 10 * time.Second
)

// offered says which configuration a peer was sent, and when.
type offered struct {
	number uint64
	at     time.Time
}

func (o offered) recently(number uint64, pause time.Duration, now time.Time) bool {
	return o.number == number && now.Sub(o.at) < pause
}

// composeConfiguration adds the changes that the peer lacks, or the whole
// configuration where it is too far behind.
func (p *peer) composeConfiguration(d *wire.Digest, c *wire.ConfigurationRecord, now time.Time) {
	changes, whole := p.lacks(c, now)
	if whole {
		d.Configuration = c
		p.whole = offered{number: c.GetNumber(), at: now}
	}
	if changes != nil {
		d.Changes = changes
		p.changes = offered{number: c.GetNumber(), at: now}
	}
}

// lacks returns the changes that the peer should be sent, or true where it
// should be sent the whole configuration.
func (p *peer) lacks(c *wire.ConfigurationRecord, now time.Time) (changes []*wire.ConfigurationChange, whole bool) {
	if !p.contacted || p.number >= c.GetNumber() {
		return nil, false
	}
	if !p.wantsConfiguration {
		changes = following(c.GetRecent(), p.number, c.GetNumber())
	}
	if changes == nil {
		return nil, !p.whole.recently(c.GetNumber(), _wholePause, now)
	}
	if p.changes.recently(c.GetNumber(), _changesPause, now) {
		return nil, false
	}
	return changes, false
}

// following returns the changes after one number up to another, or nil where
// not all are there with their hash.
func following(recent []*wire.ConfigurationChange, after, upTo uint64) []*wire.ConfigurationChange {
	i := slices.IndexFunc(recent, func(c *wire.ConfigurationChange) bool { return c.GetNumber() == after+1 })
	if i < 0 || uint64(len(recent)-i) != upTo-after {
		return nil
	}
	if slices.ContainsFunc(recent[i:], func(c *wire.ConfigurationChange) bool { return c.GetDocumentHash() == 0 }) {
		return nil
	}
	return recent[i:]
}
