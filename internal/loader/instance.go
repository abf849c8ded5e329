package loader

import (
	"errors"
	"net/netip"
	"strconv"
	"time"
)

// _bytesInMegabyte turns the memory limit into bytes.
const _bytesInMegabyte = 1 << 20

// instanceList returns the settings of the one program of an instance on the
// users' platform.
func (s *Settings) instanceList() []*setting {
	return append(s.identityList(), []*setting{
		{
			key: "callers-listen", meaning: "`address` of the callers' API", allowed: _allowedAddress,
			store: storeText(&s.callersListen, isAddress),
		},
		{
			key: "peer-listen", meaning: "UDP `address` where the other instances reach this one; empty to share nothing with them", allowed: _allowedOptionalAddress,
			store: storeText(&s.peerListen, isOptionalAddress),
		},
		{
			key: "drain-notice", meaning: "how long the process goes on as usual after it reports that it is not ready, so that the balancer can notice",
			allowed: _allowedDuration, byDefault: "2600ms",
			store: storeDuration(&s.drainNotice),
		},
		{
			key: "drain-limit", meaning: "longest graceful shutdown, the notice included", allowed: _allowedDuration, byDefault: "8s",
			store: storeDuration(&s.drainLimit),
		},
		{
			key: "engine-drain", meaning: "how long an upstream that has said that it leaves may still be sent requests", allowed: _allowedDuration, byDefault: "2s",
			store: storeDuration(&s.upstreamDrain),
		},
		{
			key: "retry-ratio", meaning: "second sends for each request in a window, over all instances", allowed: "a number from 0 to 1", byDefault: "0.2",
			store: storeNumber(&s.retryRatio, 0, 1),
		},
		{
			key: "retry-window", meaning: "the `window` in which second sends are counted", allowed: _allowedDuration, byDefault: "10s",
			store: storeDuration(&s.retryWindow),
		},
		{
			key: "retry-slack", meaning: "second sends allowed in a window besides, over all instances", allowed: "a number from 0 to 1000000", byDefault: "100",
			store: storeNumber(&s.retrySlack, 0, 1e6),
		},
		{
			key: "memory-limit", meaning: "memory of the instance, in `megabytes`; 0 sets no limit", allowed: "a whole number from 0 to 1048576", byDefault: "0",
			store: func(text string) bool {
				n, err := strconv.ParseInt(text, 10, 64)
				s.memoryLimit = n * _bytesInMegabyte
				return err == nil && n >= 0 && n <= _bytesInMegabyte
			},
		},
	}...)
}

// instanceContradictions returns the faults of settings that don't fit each
// other.
func (s *Settings) instanceContradictions() []error {
	if s.peerListen != "" && netip.MustParseAddrPort(s.peerListen).Addr().IsUnspecified() {
		return []error{errors.New("peer-listen: peers can't use it; allowed: an IP number and a port of this instance")}
	}
	if s.drainLimit > 0 && s.drainNotice >= s.drainLimit {
		return []error{errors.New("drain-notice: it is not shorter than drain-limit; allowed: a shorter time")}
	}
	return nil
}

func storeNumber(into *float64, least, most float64) func(string) bool {
	return func(text string) bool {
		n, err := strconv.ParseFloat(text, 64)
		*into = n
		return err == nil && n >= least && n <= most
	}
}

// UpstreamDrainGrace returns how long an upstream that has said that it leaves may
// still be sent requests.
func (s Settings) UpstreamDrainGrace() time.Duration { return s.upstreamDrain }

// RetryRatio returns the second sends allowed for each request in a window.
func (s Settings) RetryRatio() float64 { return s.retryRatio }

// RetryWindow returns the window in which second sends are counted.
func (s Settings) RetryWindow() time.Duration { return s.retryWindow }

// RetrySlack returns the second sends allowed in a window besides.
func (s Settings) RetrySlack() float64 { return s.retrySlack }

// MemoryLimit returns the instance's memory in bytes; 0 means no limit.
func (s Settings) MemoryLimit() int64 { return s.memoryLimit }
