package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
)

// _outputEvents is the number of events from which an upstream counts as generating
// output for a prompt. One may still come from an upstream that crashes under it.
const _outputEvents = 2

// _maxLoggedNames is the largest size of the ids of a prompt's parts in a log line, in bytes.
const _maxLoggedNames = 1 << 10

// refuseQuarantined refuses the request if upstreams crash under a part of its prompt, and
// reports whether it did. The request would not be served before the quarantine ends.
func (c *call) refuseQuarantined() bool {
	c.readParts()
	left, combination := c.Quarantine.QuarantinedFor(c.parts, time.Now())
	if left == 0 {
		return false
	}
	c.Log.Event("quarantine", logger.Fields{"request": c.request.ID, "parts": c.partNames(combination.Parts()), "hashes": combination, "left_ms": left.Milliseconds(), "outcome": "refused"})
	c.refuseFor(http.StatusServiceUnavailable, "prompt-quarantined", left)
	return true
}

// readParts sets the parts of the prompt.
func (c *call) readParts() {
	if c.request.SharedParts == nil {
		return
	}
	for id := range c.request.SharedParts {
		c.parts = append(c.parts, quarantiner.NewPart(c.service.Name, id))
	}
}

// partNames returns the ids of those parts of the prompt that are among the given ones, at
// most _maxLoggedNames bytes of them.
func (c *call) partNames(among []quarantiner.Part) string {
	if c.request.SharedParts == nil {
		return ""
	}
	var names []byte
	n := 0
	for id := range c.request.SharedParts {
		if slices.Contains(among, c.parts[n]) {
			names = append(append(names, id...), ',')
		}
		n++
		if len(names) > _maxLoggedNames {
			return string(names[:_maxLoggedNames]) + "..."
		}
	}
	return strings.TrimSuffix(string(names), ",")
}

// mayCrashUpstreams reports whether the prompt may crash the next upstream: a part of it is
// quarantined by now, or the latest send broke off and a part is a suspect in another
// crash.
func (c *call) mayCrashUpstreams() bool {
	if c.sends == 0 || len(c.parts) == 0 {
		return false
	}
	now := time.Now()
	left, _ := c.Quarantine.QuarantinedFor(c.parts, now)
	return left > 0 || c.brokenOff && !c.Quarantine.MayResend(c.parts, c.life, now)
}

// countOutput counts an event of the latest send.
func (c *call) countOutput() {
	c.sendEvents++
	if c.sendEvents == _outputEvents {
		c.Quarantine.RecordOutput(c.parts)
	}
}

// recordFailedSend records for the quarantine that a send brought no response.
func (c *call) recordFailedSend(ctx context.Context, err error) {
	var f *forwarder.ExchangeError
	switch {
	case context.Cause(ctx) != nil || !errors.As(err, &f):
	case f.Malformed:
		// An upstream that sends other bytes than a response has not crashed.
	case f.Sent:
		c.recordBroken()
	default:
		c.Quarantine.RecordRefused(c.life, time.Now())
	}
}

// recordBroken records for the quarantine that the upstream broke the latest send off.
func (c *call) recordBroken() {
	c.brokenOff = c.sendEvents < _outputEvents
	var waiting []quarantiner.Part
	if c.brokenOff {
		waiting = c.parts
	}
	c.Quarantine.RecordBroken(c.life, c.startedBeforeBreak(), waiting, time.Now())
}

// startedBeforeBreak returns when the upstream of the latest send had started, in Unix
// milliseconds; 0 if that is unknown or the upstream is about to leave.
func (c *call) startedBeforeBreak() int64 {
	u, ok := c.listed(c.life.Upstream)
	if !ok || u.Group.Epoch != c.life.Epoch || u.Draining || c.Screener.IsLeaving(&u) {
		return 0
	}
	return u.StartedMs
}

// listed returns an upstream as the platform's list has it.
func (s *Relayer) listed(id string) (cataloguer.Upstream, bool) {
	fleet := s.Catalogue.Fleet()
	if fleet == nil {
		return cataloguer.Upstream{}, false
	}
	u, ok := fleet.Upstreams[id]
	return u, ok
}

// shareEvidence records which upstreams have started again since a response broke off, logs
// them, and returns what this process knows of prompts that crash upstreams.
func (s *Relayer) shareEvidence(now time.Time) quarantiner.Evidence {
	restarted := s.Quarantine.RecordStarts(func(id string) int64 {
		u, _ := s.listed(id)
		return u.StartedMs
	}, now)
	for _, life := range restarted {
		s.Log.Event("upstream-restarted", logger.Fields{"upstream": life.Upstream, "epoch": life.Epoch, "outcome": "a response broken off by it counts as a crash"})
	}
	return s.Quarantine.Share(now)
}

// receiveEvidence takes what all processes know of prompts that crash upstreams.
func (s *Relayer) receiveEvidence(e quarantiner.Evidence, now time.Time) {
	for _, c := range s.Quarantine.Receive(e, now) {
		left, _ := s.Quarantine.QuarantinedFor(c.Parts(), now)
		s.Log.Warn("quarantine", logger.Fields{"hashes": c, "left_ms": left.Milliseconds(), "outcome": "requests with the parts are refused"})
	}
}
