package loader

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Role is the kind of a process, which determines the settings that it has.
type Role string

// Roles of the system's processes.
const (
	// RoleEntry is a process that serves callers and operators.
	RoleEntry Role = "entry"
	// RolePlacer is a process that forms replicas.
	RolePlacer Role = "placer"
	// RoleInstance is the only process of an instance on the users' platform; it
	// serves callers and also forms groups.
	RoleInstance Role = "instance"
)

// Settings are the validated settings of a process. They don't change after Load.
type Settings struct {
	role               Role
	name               string
	dataCentre         string
	platform           string
	callersListen      string
	callersReadLimit   time.Duration
	callersWriteLimit  time.Duration
	operatorListen     string
	operatorAddress    string
	operatorTokens     map[string]string
	metricsListen      string
	peerListen         string
	peerAddress        string
	peerSeeds          []string
	peerSecret         string
	drainNotice        time.Duration
	drainLimit         time.Duration
	maxBodyBytes       int64
	upstreamDrainGrace time.Duration
	retryRatio         float64
	retryWindow        time.Duration
	retrySlack         float64
	processorShare     float64
	memoryLimit        int64
	descriptorsLimit   int
	evacuationBound    time.Duration
	coldOverage        float64
	coldSlack          float64
	file               string
}

// Load reads and validates the settings of a process. It writes usage and help to
// output, and returns flag.ErrHelp if help was requested. Any other error joins
// the errors of all invalid settings.
func Load(role Role, args []string, output io.Writer) (Settings, error) {
	s := Settings{role: role}
	settings := s.roleSettings()
	flags := newFlagSet(role, settings)
	flags.SetOutput(output)
	errs, err := parse(flags, args)
	s.file = flags.Lookup("config").Value.String()
	if errors.Is(err, flag.ErrHelp) {
		return Settings{}, err
	}
	if err != nil {
		errs = append(errs, err)
	}
	for _, x := range settings {
		errs = append(errs, x.check()...)
	}
	if len(errs) == 0 {
		errs = s.checkCombinations()
	}
	if len(errs) > 0 {
		return Settings{}, fmt.Errorf("loader: settings of %s:\n%w", flags.Name(), errors.Join(errs...))
	}
	return s, nil
}

// checkCombinations returns the errors of settings that are allowed alone but not
// together.
func (s *Settings) checkCombinations() []error {
	var errs []error
	if s.role == RoleInstance {
		return s.checkInstanceCombinations()
	}
	if s.peerAddress == "" && netip.MustParseAddrPort(s.peerListen).Addr().IsUnspecified() {
		errs = append(errs, errors.New("peer-address: missing; peers can't use the address of peer-listen; allowed: an IP number and a port of this instance"))
	}
	keyByAddress := make(map[string]string)
	for _, l := range []struct{ key, address string }{
		{"callers-listen", s.callersListen}, {"operator-listen", s.operatorListen}, {"metrics-listen", s.metricsListen},
	} {
		// With port 0 the operating system chooses a free port for each listener.
		if other, ok := keyByAddress[l.address]; ok && netip.MustParseAddrPort(l.address).Port() != 0 {
			errs = append(errs, fmt.Errorf("%s: %q is also %s; allowed: an address of its own", l.key, l.address, other))
		}
		keyByAddress[l.address] = l.key
	}
	return errs
}

// Role returns the kind of the process.
func (s Settings) Role() Role { return s.role }

// File returns the path of the settings file, empty if there is none.
func (s Settings) File() string { return s.file }

// Name returns the process's name.
func (s Settings) Name() string { return s.name }

// DataCentre returns the name of the process's data centre.
func (s Settings) DataCentre() string { return s.dataCentre }

// Platform returns the URL of the platform's object API.
func (s Settings) Platform() string { return s.platform }

// CallersListen returns the address that the callers' API listens on.
func (s Settings) CallersListen() string { return s.callersListen }

// CallersReadLimit returns the longest time that the body of a request may take to
// arrive; 0 means no limit.
func (s Settings) CallersReadLimit() time.Duration { return s.callersReadLimit }

// CallersWriteLimit returns the longest time that a caller may take to read the
// next part of a streamed answer, after which its slot is given to others; 0 means
// no limit.
func (s Settings) CallersWriteLimit() time.Duration { return s.callersWriteLimit }

// OperatorListen returns the address that the operator API listens on.
func (s Settings) OperatorListen() string { return s.operatorListen }

// OperatorAddress returns the address at which operators reach the operator API.
// It is empty if they reach it at OperatorListen.
func (s Settings) OperatorAddress() string { return s.operatorAddress }

// MetricsListen returns the address that /metrics, /healthz and /readyz are served
// on.
func (s Settings) MetricsListen() string { return s.metricsListen }

// PeerListen returns the UDP address that the peer protocol listens on. It is
// empty for an instance that exchanges nothing with other instances.
func (s Settings) PeerListen() string { return s.peerListen }

// PeerAddress returns the UDP address at which peers reach the process. It is
// empty if they reach it at PeerListen.
func (s Settings) PeerAddress() string { return s.peerAddress }

// PeerSeeds returns the UDP addresses of peers to contact while the platform is
// unavailable.
func (s Settings) PeerSeeds() []string { return s.peerSeeds }

// PeerSecret returns the secret that all processes share.
func (s Settings) PeerSecret() string { return s.peerSecret }

// DrainLimit returns the longest time that a graceful shutdown may take; 0 means
// no limit.
func (s Settings) DrainLimit() time.Duration { return s.drainLimit }

// MaxBodyBytes returns the size in bytes of the largest request body allowed.
func (s Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// DrainNotice returns how long a process that shuts down serves as usual after it
// reports that it is not ready, so that a load balancer can notice.
func (s Settings) DrainNotice() time.Duration { return s.drainNotice }

// OperatorTokens returns the names of the operators by the hex SHA-256 of their
// tokens. The map must not be modified.
func (s Settings) OperatorTokens() map[string]string { return s.operatorTokens }
