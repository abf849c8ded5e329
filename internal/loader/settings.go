package loader

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Role is what a process does.
type Role string

// Roles of the system's processes.
const (
	RoleEntry  Role = "entry"
	RolePlacer Role = "placer"
)

// _drainNotice is the default of drain-notice.
const _drainNotice = 3 * time.Second

// _minSecretBytes is the least length of the cluster secret.
const _minSecretBytes = 16

var _processName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Settings are the checked settings of an entry or a placer. They don't change
// after Load.
type Settings struct {
	role            Role
	name            string
	dataCentre      string
	platform        string
	callersListen   string
	operatorListen  string
	operatorAddress string
	operatorTokens  string
	metricsListen   string
	peerListen      string
	peerAddress     string
	peerSeeds       string
	peerSecret      string
	drainLimit      time.Duration
	drainNotice     time.Duration
	maxBodyBytes    int64
}

// Load reads and checks the settings of a process. Usage and faults go to
// output.
func Load(role Role, args []string, output io.Writer) (Settings, error) {
	s := Settings{role: role}
	set := flag.NewFlagSet("lb"+string(role), flag.ContinueOnError)
	set.SetOutput(output)
	s.define(set)
	if err := Parse(set, args); err != nil {
		return Settings{}, err
	}
	if err := s.check(); err != nil {
		return Settings{}, fmt.Errorf("loader: settings of %s: %w", set.Name(), err)
	}
	return s, nil
}

func (s *Settings) define(set *flag.FlagSet) {
	set.StringVar(&s.name, "name", "", "process `name`, unique among all processes")
	set.StringVar(&s.dataCentre, "data-centre", "", "`name` of the data centre")
	set.StringVar(&s.platform, "platform", "", "`URL` of the platform's object API, by IP number")
	set.StringVar(&s.metricsListen, "metrics-listen", "127.0.0.1:0", "`address` of /metrics, /healthz and /readyz")
	set.StringVar(&s.peerListen, "peer-listen", "", "UDP `address` of the peer protocol")
	set.StringVar(&s.peerAddress, "peer-address", "", "UDP `address` that peers use; empty for the one listened on")
	set.StringVar(&s.peerSeeds, "peer-seeds", "", "comma-separated UDP `addresses` of peers to ask while the platform is away")
	set.StringVar(&s.peerSecret, "peer-secret", "", "`secret` shared by all processes, 16 bytes or more")
	set.StringVar(&s.operatorListen, "operator-listen", "127.0.0.1:0", "`address` of the operator API")
	set.StringVar(&s.operatorAddress, "operator-address", "", "`address` that operators use; empty for the one listened on")
	set.StringVar(&s.operatorTokens, "operator-tokens", "", "comma-separated `name:digest`, the hex SHA-256 of each operator's token")
	if s.role == RoleEntry {
		set.StringVar(&s.callersListen, "callers-listen", "", "`address` of the callers' API")
		set.DurationVar(&s.drainLimit, "drain-limit", 0, "longest graceful shutdown; 0 waits for every answer")
		set.DurationVar(&s.drainNotice, "drain-notice", _drainNotice, "time between the end of readiness and the end of new work")
		set.Int64Var(&s.maxBodyBytes, "max-body-bytes", 1<<20, "largest request `body`")
	}
}

func (s *Settings) check() error {
	var faults []error
	fault := func(key, allowed string) {
		faults = append(faults, fmt.Errorf("%s: allowed: %s", key, allowed))
	}
	if !_processName.MatchString(s.name) {
		fault("name", "1 to 63 of a-z, 0-9 and -")
	}
	if s.dataCentre == "" {
		fault("data-centre", "the name of this process's data centre")
	}
	if u, err := url.Parse(s.platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || !isAddress(u.Host) {
		fault("platform", "a URL by IP number and port, such as http://10.0.0.1:9000")
	}
	addresses := map[string]string{"metrics-listen": s.metricsListen, "peer-listen": s.peerListen, "operator-listen": s.operatorListen}
	if s.role == RoleEntry {
		addresses["callers-listen"] = s.callersListen
	}
	for k, a := range addresses {
		if !isAddress(a) {
			fault(k, "an IP number and a port, such as 10.0.0.7:8080")
		}
	}
	for k, a := range map[string]string{"peer-address": s.peerAddress, "operator-address": s.operatorAddress} {
		if a != "" && !isAddress(a) {
			fault(k, "empty, or an IP number and a port")
		}
	}
	for _, a := range s.PeerSeeds() {
		if !isAddress(a) {
			fault("peer-seeds", "IP numbers and ports, separated by commas")
		}
	}
	if len(s.peerSecret) < _minSecretBytes {
		fault("peer-secret", "16 bytes or more, the same in all processes")
	}
	if _, err := s.tokens(); err != nil {
		fault("operator-tokens", "name:digest pairs, each digest 64 hex digits")
	}
	if s.role == RoleEntry && (s.maxBodyBytes < 1024 || s.maxBodyBytes > 1<<26) {
		fault("max-body-bytes", "1024 to 67108864")
	}
	if s.drainLimit < 0 {
		fault("drain-limit", "0 or more, such as 90s")
	}
	if s.drainNotice < 0 {
		fault("drain-notice", "0 or more, such as 5s")
	}
	return errors.Join(faults...)
}

// Role returns what the process does.
func (s Settings) Role() Role { return s.role }

// Name returns the process's name.
func (s Settings) Name() string { return s.name }

// DataCentre returns the name of the process's data centre.
func (s Settings) DataCentre() string { return s.dataCentre }

// Platform returns the URL of the platform's object API.
func (s Settings) Platform() string { return s.platform }

// CallersListen returns the address of the callers' API.
func (s Settings) CallersListen() string { return s.callersListen }

// OperatorListen returns the address of the operator API.
func (s Settings) OperatorListen() string { return s.operatorListen }

// OperatorAddress returns the address that operators use, empty for the one
// listened on.
func (s Settings) OperatorAddress() string { return s.operatorAddress }

// MetricsListen returns the address of metrics and health.
func (s Settings) MetricsListen() string { return s.metricsListen }

// PeerListen returns the UDP address of the peer protocol.
func (s Settings) PeerListen() string { return s.peerListen }

// PeerAddress returns the UDP address that peers use, empty for the one
// listened on.
func (s Settings) PeerAddress() string { return s.peerAddress }

// PeerSeeds returns the addresses of peers to ask first.
func (s Settings) PeerSeeds() []string { return fields(s.peerSeeds) }

// PeerSecret returns the secret that all processes share.
func (s Settings) PeerSecret() string { return s.peerSecret }

// DrainLimit returns the longest graceful shutdown; 0 means no limit.
func (s Settings) DrainLimit() time.Duration { return s.drainLimit }

// DrainNotice returns how long an entry that shuts down goes on taking new work
// after it stopped being ready, so that balancers have time to notice.
func (s Settings) DrainNotice() time.Duration { return s.drainNotice }

// MaxBodyBytes returns the size of the largest request body.
func (s Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// OperatorTokens returns operators' names by the hex SHA-256 of their tokens.
func (s Settings) OperatorTokens() map[string]string {
	t, _ := s.tokens()
	return t
}

func (s Settings) tokens() (map[string]string, error) {
	tokens := make(map[string]string)
	for _, f := range fields(s.operatorTokens) {
		name, digest, ok := strings.Cut(f, ":")
		raw, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(raw) != 32 {
			return nil, fmt.Errorf("bad operator token %q", name)
		}
		tokens[strings.ToLower(digest)] = name
	}
	return tokens, nil
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

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
