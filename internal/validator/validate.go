package validator

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
)

// Upper limits of the document's numbers; _maxTokens is in tokens.
const (
	_maxReplicas  = 10_000
	_maxMembers   = 64
	_maxSlots     = 4096
	_maxWeight    = 1000
	_maxTimeoutMS = 600_000
	_maxTokens    = 1 << 20
)

// Patterns of names, of labels, and of SHA-256 digests in hex.
var (
	_namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	_labelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	_digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault is one violation of the rules for a document: where it is, what is wrong
// and which values are allowed.
type Fault struct {
	Path    string `json:"path"` // JSON pointer to the value
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Faults lists all faults of a document. It is an error only if it is not empty.
type Faults []Fault

// Error returns a text that lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("%s: %s; allowed: %s", x.Path, x.Problem, x.Allowed)
	}
	return "validator: the configuration has faults:\n" + strings.Join(lines, "\n")
}

// Validate returns all faults of the document, sorted by path. The result is
// empty for a valid document.
func (d Document) Validate() Faults {
	c := checker{faults: d.validateValues()}
	for _, k := range d.SharedKeys() {
		problem := fmt.Sprintf("the key also belongs to organisation %q", k.Owner)
		c.addFault(fmt.Sprintf("/organisations/%s/keys_sha256/%d", k.Other, k.Index), problem, "a key of one organisation only")
	}
	c.sort()
	return c.faults
}

// validateValues returns the faults of single values and of references to names,
// sorted by path.
func (d Document) validateValues() Faults {
	var c checker
	for n, o := range d.Organisations {
		c.checkOrganisation("/organisations/"+n, n, o)
	}
	for n, g := range d.Groups {
		c.checkGroup("/groups/"+n, n, g, d)
	}
	for n, s := range d.Services {
		c.checkService("/services/"+n, n, s, d)
	}
	for n := range d.Instances {
		c.checkLabel("/instances/"+n, n)
	}
	c.checkPolicy(d.Policy)
	c.sort()
	return c.faults
}

// SharedKey is an API key that two organisations have.
type SharedKey struct {
	// Owner is the organisation that requests with the key belong to: the first by
	// name.
	Owner string
	// Other is the other organisation, and Index the place of the key in its list.
	Other string
	Index int
}

// SharedKeys returns the keys that an organisation shares with one before it by name.
func (d Document) SharedKeys() []SharedKey {
	owners := make(map[string]string)
	var shared []SharedKey
	for _, n := range slices.Sorted(maps.Keys(d.Organisations)) {
		for i, k := range d.Organisations[n].KeysSHA256 {
			owner, taken := owners[k]
			switch {
			case !taken:
				owners[k] = n
			case owner != n:
				shared = append(shared, SharedKey{Owner: owner, Other: n, Index: i})
			}
		}
	}
	return shared
}

// checker collects the faults of a document.
type checker struct {
	faults Faults
}

// sort sorts the faults by path.
func (c *checker) sort() {
	sort.Slice(c.faults, func(i, j int) bool { return c.faults[i].Path < c.faults[j].Path })
}

func (c *checker) addFault(path, problem, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (c *checker) checkName(path, name string) {
	if !_namePattern.MatchString(name) {
		c.addFault(path, fmt.Sprintf("%q is not a name", name), "1 to 63 of a-z, 0-9 and -, not starting with -")
	}
}

func (c *checker) checkLabel(path, value string) {
	if !_labelPattern.MatchString(value) {
		c.addFault(path, fmt.Sprintf("%q is not a label", value), "1 to 128 of A-Z, a-z, 0-9 and ._:-, starting with a letter or digit")
	}
}

func (c *checker) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		c.addFault(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) checkOrganisation(path, name string, o Organisation) {
	c.checkName(path, name)
	c.checkRange(path+"/weight", o.Weight, 0, _maxWeight)
	if len(o.KeysSHA256) == 0 {
		c.addFault(path+"/keys_sha256", "no API key", "one or more SHA-256 digests")
	}
	for i, k := range o.KeysSHA256 {
		if !_digestPattern.MatchString(k) {
			c.addFault(fmt.Sprintf("%s/keys_sha256/%d", path, i), "not a SHA-256 digest", "64 lower-case hex digits; never the key itself")
		}
	}
}

// checkOrganisationNames checks that each name is defined and listed once. The
// path is that of the group or service that lists the names.
func (c *checker) checkOrganisationNames(path string, names []string, d Document) {
	for i, n := range names {
		if _, ok := d.Organisations[n]; !ok {
			c.addFault(fmt.Sprintf("%s/organisations/%d", path, i), fmt.Sprintf("organisation %q is not defined", n), "a name under /organisations")
		}
		if slices.Index(names, n) < i {
			c.addFault(fmt.Sprintf("%s/organisations/%d", path, i), fmt.Sprintf("organisation %q is listed twice", n), "each name once")
		}
	}
}

func (c *checker) checkGroup(path, name string, g Group, d Document) {
	c.checkName(path, name)
	c.checkLabel(path+"/model", g.Model)
	c.checkLabel(path+"/version", g.Version)
	c.checkLabel(path+"/data_centre", g.DataCentre)
	c.checkRange(path+"/replicas", g.Replicas, 0, _maxReplicas)
	c.checkRange(path+"/members", g.Members, 1, _maxMembers)
	c.checkRange(path+"/slots", g.Slots, 0, _maxSlots)
	c.checkOrganisationNames(path, g.Organisations, d)
}

func (c *checker) checkService(path, name string, s Service, d Document) {
	c.checkName(path, name)
	c.checkRange(path+"/timeout_ms", s.TimeoutMS, 0, _maxTimeoutMS)
	c.checkOrganisationNames(path, s.Organisations, d)
	if len(s.Upstreams) == 0 {
		c.addFault(path+"/upstreams", "no upstreams", "one or more upstreams")
	}
	for n, u := range s.Upstreams {
		p := path + "/upstreams/" + n
		c.checkLabel(p, n)
		c.checkLabel(p+"/data_centre", u.DataCentre)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.addFault(p+"/address", fmt.Sprintf("%q is not an address", u.Address), "an IP number and a port, such as 10.0.0.7:8080")
		}
	}
}

func (c *checker) checkPolicy(p Policy) {
	c.checkRange("/policy/probe_interval_ms", p.ProbeIntervalMS, 0, 60_000)
	c.checkRange("/policy/evidence_limit_ms", p.EvidenceLimitMS, 0, 60_000)
	c.checkRange("/policy/unconfirmed_window_ms", p.UnconfirmedWindowMS, 0, 60_000)
	c.checkRange("/policy/max_queue", p.MaxQueue, 0, 1_000_000)
	c.checkRange("/policy/first_token_target_ms", p.FirstTokenTargetMS, 0, _maxTimeoutMS)
	c.checkRange("/policy/long_wait_ms", p.LongWaitMS, 0, _maxTimeoutMS)
	c.checkRange("/policy/long_tokens", p.LongTokens, 0, _maxTokens)
	c.checkRange("/policy/long_share_percent", p.LongSharePercent, 0, 100)
	c.checkRange("/policy/max_loads", p.MaxLoads, 0, _maxReplicas)
	c.checkRange("/policy/retention_hours", p.RetentionHours, 0, 24*365)
	if p.EvidenceLimit() < 2*p.ProbeInterval() {
		c.addFault("/policy/evidence_limit_ms", "evidence would expire between two probes", "at least twice probe_interval_ms")
	}
}
