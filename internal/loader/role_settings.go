package loader

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

const (
	// _minSecretBytes is the shortest peer secret, in bytes.
	_minSecretBytes = 16
	// _minBodyBytes and _maxBodyBytes are the bounds of max-body-bytes.
	_minBodyBytes = 1 << 10
	_maxBodyBytes = 1 << 26
)

// Descriptions of the allowed values that several settings share.
const (
	_allowedAddress         = "an IP number and a port, such as 10.0.0.7:8080"
	_allowedOptionalAddress = "empty, or an IP number and a port, such as 10.0.0.7:8080"
	_allowedDuration        = "0 or more with a unit, such as 90s"
)

var (
	_processNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	_labelPattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
)

// roleSettings returns every setting of the role. Each stores its value in s.
func (s *Settings) roleSettings() []*setting {
	if s.role == RoleInstance {
		return s.instanceSettings()
	}
	settings := append(s.commonSettings(), []*setting{
		{
			key: "peer-listen", meaning: "UDP `address` of the peer protocol", allowed: _allowedAddress,
			store: storeText(&s.peerListen, isAddress),
		},
		{
			key: "peer-address", meaning: "UDP `address` that peers use; empty for the one listened on", allowed: _allowedOptionalAddress,
			store: storeText(&s.peerAddress, isOptionalAddress),
		},
		{
			key: "peer-seeds", meaning: "UDP `addresses` of peers to contact while the platform is unavailable", allowed: "IP numbers and ports, separated by commas",
			store: s.storeSeeds,
		},
		{
			key: "peer-secret", meaning: "`secret` shared by all processes", allowed: "16 bytes or more, the same in all processes", secret: true,
			store: storeText(&s.peerSecret, func(t string) bool { return len(t) >= _minSecretBytes }),
		},
		{
			key: "operator-listen", meaning: "`address` of the operator API", allowed: _allowedAddress, defaultValue: "127.0.0.1:0",
			store: storeText(&s.operatorListen, isAddress),
		},
		{
			key: "operator-address", meaning: "`address` that operators use; empty for the one listened on", allowed: _allowedOptionalAddress,
			store: storeText(&s.operatorAddress, isOptionalAddress),
		},
		{
			key: "operator-tokens", meaning: "operators' names with the hex SHA-256 of their tokens (lbctl digest); without any, the operator API refuses every call",
			allowed: "name:digest pairs, separated by commas; each digest 64 hex digits", secret: true,
			store: s.storeTokens,
		},
		{
			key: "drain-notice", meaning: "how long the process serves as usual after it reports that it is not ready, so that a load balancer can notice",
			allowed: _allowedDuration, defaultValue: "3s",
			store: storeDuration(&s.drainNotice),
		},
	}...)
	if s.role == RoleEntry {
		settings = append(settings, s.entrySettings()...)
	}
	return settings
}

// commonSettings returns the settings that processes of every role have.
func (s *Settings) commonSettings() []*setting {
	return []*setting{
		{
			key: "name", meaning: "process `name`, unique among all processes", allowed: "1 to 63 of a-z, 0-9 and -, not starting with -",
			store: storeText(&s.name, _processNamePattern.MatchString),
		},
		{
			key: "data-centre", meaning: "`name` of the data centre", allowed: "1 to 128 of A-Z, a-z, 0-9 and ._:-, starting with a letter or digit",
			store: storeText(&s.dataCentre, _labelPattern.MatchString),
		},
		{
			key: "platform", meaning: "`URL` of the platform's object API", allowed: "a URL by IP number and port, such as http://10.0.0.1:9000",
			store: storeText(&s.platform, isPlatformURL),
		},
		{
			key: "metrics-listen", meaning: "`address` of /metrics, /healthz and /readyz", allowed: _allowedAddress, defaultValue: "127.0.0.1:0",
			store: storeText(&s.metricsListen, isAddress),
		},
	}
}

// entrySettings returns the settings that entries have and placers don't.
func (s *Settings) entrySettings() []*setting {
	return []*setting{
		{
			key: "callers-listen", meaning: "`address` of the callers' API", allowed: _allowedAddress,
			store: storeText(&s.callersListen, isAddress),
		},
		{
			key: "callers-read-limit", meaning: "longest time for the body of one request to arrive; 0 sets no limit",
			allowed: _allowedDuration, defaultValue: "30s",
			store: storeDuration(&s.callersReadLimit),
		},
		{
			key: "callers-write-limit", meaning: "longest time for a caller to read the next part of a streamed answer, after which its slot is given to others; 0 sets no limit",
			allowed: _allowedDuration, defaultValue: "30s",
			store: storeDuration(&s.callersWriteLimit),
		},
		{
			key: "drain-limit", meaning: "longest graceful shutdown; 0 sets no limit", allowed: _allowedDuration, defaultValue: "0s",
			store: storeDuration(&s.drainLimit),
		},
		{
			key: "max-body-bytes", meaning: "largest request `body`, in bytes", allowed: "1024 to 67108864", defaultValue: "1048576",
			store: func(text string) bool {
				n, err := strconv.ParseInt(text, 10, 64)
				s.maxBodyBytes = n
				return err == nil && n >= _minBodyBytes && n <= _maxBodyBytes
			},
		},
	}
}

// storeText returns a store function for a text that allowed accepts.
func storeText(target *string, allowed func(string) bool) func(string) bool {
	return func(text string) bool {
		*target = text
		return allowed(text)
	}
}

// storeSeeds stores a list of addresses.
func (s *Settings) storeSeeds(text string) bool {
	for _, a := range splitList(text) {
		if !isAddress(a) {
			return false
		}
		s.peerSeeds = append(s.peerSeeds, a)
	}
	return true
}

// storeTokens stores a list of operators' names and token digests. A digest is the
// 32 bytes of a SHA-256 in hex.
func (s *Settings) storeTokens(text string) bool {
	s.operatorTokens = make(map[string]string)
	for _, f := range splitList(text) {
		name, digest, ok := strings.Cut(f, ":")
		sum, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(sum) != 32 {
			return false
		}
		s.operatorTokens[strings.ToLower(digest)] = name
	}
	return true
}

// splitList returns the parts between commas, without spaces and empty parts.
func splitList(list string) []string {
	var parts []string
	for p := range strings.SplitSeq(list, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

func isPlatformURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && isAddress(u.Host)
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isOptionalAddress(text string) bool { return text == "" || isAddress(text) }
