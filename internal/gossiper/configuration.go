package gossiper

import (
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _changesPause and _wholePause are the pauses before a peer that still lacks a
	// configuration is sent the same changes or the same whole configuration again. A
	// peer that refuses what it was sent must not be sent it over and over.
	_changesPause = 2 * time.Second
	_wholePause   = 10 * time.Second
)

// sentConfiguration is the number of a configuration that a peer was sent, and when.
type sentConfiguration struct {
	number uint64
	at     time.Time
}

// sentWithin reports whether the configuration of that number was sent less than pause
// before now.
func (o sentConfiguration) sentWithin(number uint64, pause time.Duration, now time.Time) bool {
	return o.number == number && now.Sub(o.at) < pause
}

// composeConfiguration adds the changes that the peer lacks, or the whole
// configuration where it is too far behind.
func (p *peer) composeConfiguration(d *wire.Digest, c *wire.ConfigurationRecord, now time.Time) {
	changes, whole := p.missingConfiguration(c, now)
	if whole {
		d.Configuration = c
		p.sentWhole = sentConfiguration{number: c.GetNumber(), at: now}
	}
	if changes != nil {
		d.Changes = changes
		p.sentChanges = sentConfiguration{number: c.GetNumber(), at: now}
	}
}

// missingConfiguration returns the changes to send to the peer now, or true if the whole
// configuration is to be sent; nil and false mean that neither is to be sent.
func (p *peer) missingConfiguration(c *wire.ConfigurationRecord, now time.Time) (changes []*wire.ConfigurationChange, whole bool) {
	if !p.contacted || p.configurationNumber >= c.GetNumber() {
		return nil, false
	}
	if !p.wantsConfiguration {
		changes = changesBetween(c.GetRecent(), p.configurationNumber, c.GetNumber())
	}
	if changes == nil {
		return nil, !p.sentWhole.sentWithin(c.GetNumber(), _wholePause, now)
	}
	if p.sentChanges.sentWithin(c.GetNumber(), _changesPause, now) {
		return nil, false
	}
	return changes, false
}

// changesBetween returns the changes with numbers above after and up to upTo, or nil if one
// of them is missing or has no document hash.
func changesBetween(recent []*wire.ConfigurationChange, after, upTo uint64) []*wire.ConfigurationChange {
	i := slices.IndexFunc(recent, func(c *wire.ConfigurationChange) bool { return c.GetNumber() == after+1 })
	if i < 0 || uint64(len(recent)-i) != upTo-after {
		return nil
	}
	if slices.ContainsFunc(recent[i:], func(c *wire.ConfigurationChange) bool { return c.GetDocumentHash() == 0 }) {
		return nil
	}
	return recent[i:]
}
