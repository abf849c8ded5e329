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
	// _minSecretBytes is the least length of the cluster secret.
	_minSecretBytes = 16
	// Bounds of max-body-bytes.
	_minBodyBytes = 1 << 10
	_maxBodyBytes = 1 << 26
)

// What several settings allow.
const (
	_allowedAddress         = "an IP number and a port, such as 10.0.0.7:8080"
	_allowedOptionalAddress = "empty, or an IP number and a port, such as 10.0.0.7:8080"
	_allowedDuration        = "0 or more with a unit, such as 90s"
)

var (
	_processName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	_label       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
)

// list returns every setting of the role, stored into s.
func (s *Settings) list() []*setting {
	if s.role == RoleInstance {
		return s.instanceList()
	}
	list := append(s.identityList(), []*setting{
		{
			key: "peer-listen", meaning: "UDP `address` of the peer protocol", allowed: _allowedAddress,
			store: storeText(&s.peerListen, isAddress),
		},
		{
			key: "peer-address", meaning: "UDP `address` that peers use; empty for the one listened on", allowed: _allowedOptionalAddress,
			store: storeText(&s.peerAddress, isOptionalAddress),
		},
		{
			key: "peer-seeds", meaning: "UDP `addresses` of peers to ask while the platform is away", allowed: "IP numbers and ports, separated by commas",
			store: s.storeSeeds,
		},
		{
			key: "peer-secret", meaning: "`secret` shared by all processes", allowed: "16 bytes or more, the same in all processes", secret: true,
			store: storeText(&s.peerSecret, func(t string) bool { return len(t) >= _minSecretBytes }),
		},
		{
			key: "operator-listen", meaning: "`address` of the operator API", allowed: _allowedAddress, byDefault: "127.0.0.1:0",
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
			key: "drain-notice", meaning: "how long the process goes on as usual after it reports that it is not ready, so that the balancer can notice",
			allowed: _allowedDuration, byDefault: "3s",
			store: storeDuration(&s.drainNotice),
		},
	}...)
	if s.role == RoleEntry {
		list = append(list, s.entryList()...)
	}
	return list
}

// identityList returns the settings that every daemon has.
func (s *Settings) identityList() []*setting {
	return []*setting{
		{
			key: "name", meaning: "process `name`, unique among all processes", allowed: "1 to 63 of a-z, 0-9 and -, not starting with -",
			store: storeText(&s.name, _processName.MatchString),
		},
		{
			key: "data-centre", meaning: "`name` of the data centre", allowed: "1 to 128 of A-Z, a-z, 0-9 and ._:-, starting with a letter or digit",
			store: storeText(&s.dataCentre, _label.MatchString),
		},
		{
			key: "platform", meaning: "`URL` of the platform's object API", allowed: "a URL by IP number and port, such as http://10.0.0.1:9000",
			store: storeText(&s.platform, isPlatform),
		},
		{
			key: "metrics-listen", meaning: "`address` of /metrics, /healthz and /readyz", allowed: _allowedAddress, byDefault: "127.0.0.1:0",
			store: storeText(&s.metricsListen, isAddress),
		},
	}
}

// entryList returns the settings that only an entry has.
func (s *Settings) entryList() []*setting {
	return []*setting{
		{
			key: "callers-listen", meaning: "`address` of the callers' API", allowed: _allowedAddress,
			store: storeText(&s.callersListen, isAddress),
		},
		{
			key: "callers-read-limit", meaning: "longest time for the body of one request to arrive; 0 waits without end",
			allowed: _allowedDuration, byDefault: "30s",
			store: storeDuration(&s.callersReadLimit),
		},
		{
			key: "callers-write-limit", meaning: "longest time for a caller to take the next part of a streamed answer, before its place is given to others; 0 waits without end",
			allowed: _allowedDuration, byDefault: "30s",
			store: storeDuration(&s.callersWriteLimit),
		},
		{
			key: "drain-limit", meaning: "longest graceful shutdown; 0 waits for every answer", allowed: _allowedDuration, byDefault: "0s",
			store: storeDuration(&s.drainLimit),
		},
		{
			key: "max-body-bytes", meaning: "largest request `body`, in bytes", allowed: "1024 to 67108864", byDefault: "1048576",
			store: func(text string) bool {
				n, err := strconv.ParseInt(text, 10, 64)
				s.maxBodyBytes = n
				return err == nil && n >= _minBodyBytes && n <= _maxBodyBytes
			},
		},
	}
}

func storeText(into *string, allowed func(string) bool) func(string) bool {
	return func(text string) bool {
		*into = text
		return allowed(text)
	}
}

func (s *Settings) storeSeeds(text string) bool {
	for _, a := range fields(text) {
		if !isAddress(a) {
			return false
		}
		s.peerSeeds = append(s.peerSeeds, a)
	}
	return true
}

func (s *Settings) storeTokens(text string) bool {
	s.operatorTokens = make(map[string]string)
	for _, f := range fields(text) {
		name, digest, ok := strings.Cut(f, ":")
		raw, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(raw) != 32 {
			return false
		}
		s.operatorTokens[strings.ToLower(digest)] = name
	}
	return true
}

func fields(list string) []string {
	var out []string
	for f := range strings.SplitSeq(list, ",") {
		if f = strings.TrimSpace(f); f != "" {
			out = append(out, f)
		}
	}
	return out
}

func isPlatform(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && isAddress(u.Host)
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isOptionalAddress(text string) bool { return text == "" || isAddress(text) }
