package loader

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/accountant"
)

// _bytesPerMegabyte converts the memory limit to bytes. It is also the largest limit
// allowed, in megabytes: 1048576.
const _bytesPerMegabyte = 1 << 20

// instanceSettings returns the settings of an instance on the users' platform.
func (s *Settings) instanceSettings() []*setting {
	return append(s.commonSettings(), []*setting{
		{
			key: "callers-listen", meaning: "`address` of the callers' API", allowed: _allowedAddress,
			store: storeText(&s.callersListen, isAddress),
		},
		{
			key: "peer-listen", meaning: "UDP `address` at which the other instances reach this one; empty to exchange nothing with them", allowed: _allowedOptionalAddress,
			store: storeText(&s.peerListen, isOptionalAddress),
		},
		{
			key: "drain-notice", meaning: "how long the process serves as usual after it reports that it is not ready, so that a load balancer can notice",
			allowed: _allowedDuration, defaultValue: "2600ms",
			store: storeDuration(&s.drainNotice),
		},
		{
			key: "drain-limit", meaning: "longest graceful shutdown, including drain-notice", allowed: _allowedDuration, defaultValue: "8s",
			store: storeDuration(&s.drainLimit),
		},
		{
			key: "engine-drain", meaning: "how long requests may still be sent to an upstream that has announced that it is leaving", allowed: _allowedDuration, defaultValue: "2s",
			store: storeDuration(&s.upstreamDrainGrace),
		},
		{
			key: "retry-ratio", meaning: "retries allowed per request, counted over the window and all instances", allowed: "a number from 0 to 1", defaultValue: "0.2",
			store: storeNumber(&s.retryRatio, 0, 1),
		},
		{
			key: "retry-window", meaning: "length of the `window` in which requests and retries are counted", allowed: _allowedDuration, defaultValue: "10s",
			store: storeDuration(&s.retryWindow),
		},
		{
			key: "retry-slack", meaning: "retries allowed in each window in addition to retry-ratio, over all instances", allowed: "a number from 0 to 1000000", defaultValue: "100",
			store: storeNumber(&s.retrySlack, 0, 1e6),
		},
		{
			key: "processor-share", meaning: "processor cores, or the share of one, that the instance may use; peers with more are preferred for shared work", allowed: "a number from 0.01 to 1024", defaultValue: "1",
			store: storeNumber(&s.processorShare, 0.01, 1024),
		},
		{
			key: "descriptors-limit", meaning: "open files and connections of the instance; callers get three eighths of them, or fewer where memory-limit has no room for more; 0 sets no limit",
			allowed: "empty, or a whole number from 0 to 1000000",
			store: func(text string) bool {
				n := 0.0
				ok := storeOptionalNumber(&n, 1e6)(text)
				s.descriptorsLimit = int(n)
				return ok && float64(s.descriptorsLimit) == n
			},
		},
		{
			key: "evacuation-bound", meaning: "longest time in `milliseconds` until the evacuation of a data centre, requested in the platform's store, is in force; without it no evacuations are read",
			allowed: "empty, or a whole number from 0 to 3600000",
			store:   s.storeEvacuationBound,
		},
		{
			key: "cold-overage", meaning: "factor on the rate that a cold upstream can take, in the bound on the requests to it in any second over all instances; without it and cold-slack there is no bound",
			allowed: "empty, or a number from 0 to 1000",
			store:   storeOptionalNumber(&s.coldOverage, 1000),
		},
		{
			key: "cold-slack", meaning: "requests that are added to that bound", allowed: "empty, or a number from 0 to 1000000",
			store: storeOptionalNumber(&s.coldSlack, 1e6),
		},
		{
			key: "memory-limit", meaning: "memory of the instance, in `megabytes`, of which callers' connections, requests and responses get their parts; 0 sets no limit",
			allowed: "0, or a whole number from 96 to 1048576", defaultValue: "0",
			store: func(text string) bool {
				n, err := strconv.ParseInt(text, 10, 64)
				s.memoryLimit = n * _bytesPerMegabyte
				return err == nil && (n == 0 || s.memoryLimit >= accountant.MinMemoryLimit && n <= _bytesPerMegabyte)
			},
		},
	}...)
}

// checkInstanceCombinations returns the first error of an instance's settings that
// are allowed alone but not together.
func (s *Settings) checkInstanceCombinations() []error {
	if s.peerListen != "" && netip.MustParseAddrPort(s.peerListen).Addr().IsUnspecified() {
		return []error{errors.New("peer-listen: peers can't reach an unspecified IP number; allowed: an IP number and a port of this instance")}
	}
	if s.drainLimit > 0 && s.drainNotice >= s.drainLimit {
		return []error{errors.New("drain-notice: not shorter than drain-limit; allowed: a shorter time")}
	}
	return nil
}

// storeNumber returns a store function for a number from minimum to maximum.
func storeNumber(target *float64, minimum, maximum float64) func(string) bool {
	return func(text string) bool {
		n, err := strconv.ParseFloat(text, 64)
		*target = n
		return err == nil && n >= minimum && n <= maximum
	}
}

// storeOptionalNumber returns a store function for a number from 0 to maximum. An empty text
// is 0: the platform fills a setting in with nothing where a deployment has no value for it.
func storeOptionalNumber(target *float64, maximum float64) func(string) bool {
	store := storeNumber(target, 0, maximum)
	return func(text string) bool { return text == "" || store(text) }
}

// storeEvacuationBound stores a time in milliseconds, or 0 for an empty text.
func (s *Settings) storeEvacuationBound(text string) bool {
	ms := 0.0
	ok := storeOptionalNumber(&ms, float64(time.Hour.Milliseconds()))(text)
	s.evacuationBound = time.Duration(ms) * time.Millisecond
	return ok
}

// UpstreamDrainGrace returns how long requests may still be sent to an upstream
// that has announced that it is leaving.
func (s Settings) UpstreamDrainGrace() time.Duration { return s.upstreamDrainGrace }

// RetryRatio returns the number of retries allowed per request, counted over
// RetryWindow and all instances.
func (s Settings) RetryRatio() float64 { return s.retryRatio }

// RetryWindow returns the length of the window in which requests and retries are
// counted.
func (s Settings) RetryWindow() time.Duration { return s.retryWindow }

// RetrySlack returns the number of retries allowed in each RetryWindow in addition
// to those of RetryRatio, over all instances.
func (s Settings) RetrySlack() float64 { return s.retrySlack }

// DescriptorsLimit returns the largest number of open files and connections of the instance;
// 0 means no limit.
func (s Settings) DescriptorsLimit() int { return s.descriptorsLimit }

// EvacuationBound returns the longest time until a requested evacuation of a data centre is
// in force; 0 means that evacuations are not read.
func (s Settings) EvacuationBound() time.Duration { return s.evacuationBound }

// ColdOverage returns the factor on the rate that a cold upstream can take, in the bound
// on the requests to it in any second, over all instances.
func (s Settings) ColdOverage() float64 { return s.coldOverage }

// ColdSlack returns the number of requests that are added to that bound.
func (s Settings) ColdSlack() float64 { return s.coldSlack }

// ProcessorShare returns the processor cores, or the share of one, that the instance
// may use.
func (s Settings) ProcessorShare() float64 { return s.processorShare }

// MemoryLimit returns the memory limit of the instance in bytes; 0 means no limit.
func (s Settings) MemoryLimit() int64 { return s.memoryLimit }
