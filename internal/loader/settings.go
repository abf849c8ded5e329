package loader

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Role is what a process does.
type Role string

// Roles of the system's processes.
const (
	RoleEntry  Role = "entry"
	RolePlacer Role = "placer"
	// RoleInstance is the one program of an instance on the users' platform.
	RoleInstance Role = "instance"
)

// Settings are the checked settings of a daemon. They don't change
// after Load.
type Settings struct {
	role              Role
	name              string
	dataCentre        string
	platform          string
	callersListen     string
	callersReadLimit  time.Duration
	callersWriteLimit time.Duration
	operatorListen    string
	operatorAddress   string
	operatorTokens    map[string]string
	metricsListen     string
	peerListen        string
	peerAddress       string
	peerSeeds         []string
	peerSecret        string
	drainNotice       time.Duration
	drainLimit        time.Duration
	maxBodyBytes      int64
	upstreamDrain     time.Duration
	retryRatio        float64
	retryWindow       time.Duration
	retrySlack        float64
	memoryLimit       int64
	file              string
}

// Load reads and checks the settings of a process. Usage and help go to output;
// the error names every fault.
func Load(role Role, args []string, output io.Writer) (Settings, error) {
	s := Settings{role: role}
	list := s.list()
	set := flagSet(role, list)
	set.SetOutput(output)
	faults, err := parse(set, args)
	s.file = set.Lookup("config").Value.String()
	if errors.Is(err, flag.ErrHelp) {
		return Settings{}, err
	}
	if err != nil {
		faults = append(faults, err)
	}
	for _, x := range list {
		faults = append(faults, x.check()...)
	}
	if len(faults) == 0 {
		faults = s.contradictions()
	}
	if len(faults) > 0 {
		return Settings{}, fmt.Errorf("loader: settings of %s:\n%w", set.Name(), errors.Join(faults...))
	}
	return s, nil
}

// contradictions returns the faults of settings that don't fit each other.
func (s *Settings) contradictions() []error {
	var faults []error
	if s.role == RoleInstance {
		return s.instanceContradictions()
	}
	if s.peerAddress == "" && netip.MustParseAddrPort(s.peerListen).Addr().IsUnspecified() {
		faults = append(faults, errors.New("peer-address: missing; peers can't use the address of peer-listen; allowed: an IP number and a port of this instance"))
	}
	taken := make(map[string]string)
	for _, l := range []struct{ key, address string }{
		{"callers-listen", s.callersListen}, {"operator-listen", s.operatorListen}, {"metrics-listen", s.metricsListen},
	} {
		if other, ok := taken[l.address]; ok && netip.MustParseAddrPort(l.address).Port() != 0 {
			faults = append(faults, fmt.Errorf("%s: %q is also %s; allowed: an address of its own", l.key, l.address, other))
		}
		taken[l.address] = l.key
	}
	return faults
}

// Role returns what the process does.
func (s Settings) Role() Role { return s.role }

// File returns the path of the settings file, empty where there is none.
func (s Settings) File() string { return s.file }

// Name returns the process's name.
func (s Settings) Name() string { return s.name }

// DataCentre returns the name of the process's data centre.
func (s Settings) DataCentre() string { return s.dataCentre }

// Platform returns the URL of the platform's object API.
func (s Settings) Platform() string { return s.platform }

// CallersListen returns the address of the callers' API.
func (s Settings) CallersListen() string { return s.callersListen }

// CallersReadLimit returns the longest time for the body of a request to arrive;
// 0 means no limit.
func (s Settings) CallersReadLimit() time.Duration { return s.callersReadLimit }

// CallersWriteLimit returns the longest time for a caller to take the next part
// of a streamed answer; 0 means no limit.
func (s Settings) CallersWriteLimit() time.Duration { return s.callersWriteLimit }

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
func (s Settings) PeerSeeds() []string { return s.peerSeeds }

// PeerSecret returns the secret that all processes share.
func (s Settings) PeerSecret() string { return s.peerSecret }

// DrainLimit returns the longest graceful shutdown; 0 means no limit.
func (s Settings) DrainLimit() time.Duration { return s.drainLimit }

// MaxBodyBytes returns the size of the largest request body.
func (s Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// DrainNotice returns how long a process goes on as usual after it reported
// that it is not ready any more.
func (s Settings) DrainNotice() time.Duration { return s.drainNotice }

// OperatorTokens returns operators' names by the hex SHA-256 of their tokens.
// Callers must not change it.
func (s Settings) OperatorTokens() map[string]string { return s.operatorTokens }
