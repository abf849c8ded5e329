package validator

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
)

// Bounds of the document's numbers.
const (
	_maxReplicas  = 10_000
	_maxMembers   = 64
	_maxSlots     = 4096
	_maxWeight    = 1000
	_maxTimeoutMS = 600_000
	_maxTokens    = 1 << 20
)

var (
	_name   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	_label  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	_digest = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault is one fault of a document.
type Fault struct {
	Path    string `json:"path"` // JSON pointer
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Faults are all faults of a document. It is an error where it is not empty.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("%s: %s; allowed: %s", x.Path, x.Problem, x.Allowed)
	}
	return "validator: the configuration has faults:\n" + strings.Join(lines, "\n")
}

// Validate returns every fault of the document in the order of paths.
func (d Document) Validate() Faults {
	var c checker
	for n, o := range d.Organisations {
		c.organisation("/organisations/"+n, n, o)
	}
	for n, g := range d.Groups {
		c.group("/groups/"+n, n, g, d)
	}
	for n, s := range d.Services {
		c.service("/services/"+n, n, s, d)
	}
	for n := range d.Instances {
		c.label("/instances/"+n, n)
	}
	c.policy(d.Policy)
	sort.Slice(c.faults, func(i, j int) bool { return c.faults[i].Path < c.faults[j].Path })
	return c.faults
}

// checker gathers faults.
type checker struct {
	faults Faults
}

func (c *checker) fault(path, problem, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (c *checker) name(path, name string) {
	if !_name.MatchString(name) {
		c.fault(path, fmt.Sprintf("%q is not a name", name), "1 to 63 of a-z, 0-9 and -, not starting with -")
	}
}

func (c *checker) label(path, value string) {
	if !_label.MatchString(value) {
		c.fault(path, fmt.Sprintf("%q is not a label", value), "1 to 128 of A-Z, a-z, 0-9 and ._:-, starting with a letter or digit")
	}
}

func (c *checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.fault(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) organisation(path, name string, o Organisation) {
	c.name(path, name)
	c.between(path+"/weight", o.Weight, 0, _maxWeight)
	if len(o.KeysSHA256) == 0 {
		c.fault(path+"/keys_sha256", "no key", "one or more SHA-256 digests")
	}
	for i, k := range o.KeysSHA256 {
		if !_digest.MatchString(k) {
			c.fault(fmt.Sprintf("%s/keys_sha256/%d", path, i), "not a SHA-256 digest", "64 lower-case hex digits; never the key itself")
		}
	}
}

func (c *checker) members(path string, names []string, d Document) {
	for i, n := range names {
		if _, ok := d.Organisations[n]; !ok {
			c.fault(fmt.Sprintf("%s/organisations/%d", path, i), fmt.Sprintf("organisation %q is not defined", n), "a name under /organisations")
		}
		if slices.Index(names, n) < i {
			c.fault(fmt.Sprintf("%s/organisations/%d", path, i), fmt.Sprintf("organisation %q stands twice", n), "each name once")
		}
	}
}

func (c *checker) group(path, name string, g Group, d Document) {
	c.name(path, name)
	c.label(path+"/model", g.Model)
	c.label(path+"/version", g.Version)
	c.label(path+"/data_centre", g.DataCentre)
	c.between(path+"/replicas", g.Replicas, 0, _maxReplicas)
	c.between(path+"/members", g.Members, 1, _maxMembers)
	c.between(path+"/slots", g.Slots, 0, _maxSlots)
	c.members(path, g.Organisations, d)
}

func (c *checker) service(path, name string, s Service, d Document) {
	c.name(path, name)
	c.between(path+"/timeout_ms", s.TimeoutMS, 0, _maxTimeoutMS)
	c.members(path, s.Organisations, d)
	if len(s.Upstreams) == 0 {
		c.fault(path+"/upstreams", "no upstream", "one or more upstreams")
	}
	for n, u := range s.Upstreams {
		p := path + "/upstreams/" + n
		c.label(p, n)
		c.label(p+"/data_centre", u.DataCentre)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.fault(p+"/address", fmt.Sprintf("%q is not an address", u.Address), "an IP number and a port, such as 10.0.0.7:8080")
		}
	}
}

func (c *checker) policy(p Policy) {
	c.between("/policy/probe_interval_ms", p.ProbeIntervalMS, 0, 60_000)
	c.between("/policy/evidence_limit_ms", p.EvidenceLimitMS, 0, 60_000)
	c.between("/policy/unconfirmed_window_ms", p.UnconfirmedWindowMS, 0, 60_000)
	c.between("/policy/max_queue", p.MaxQueue, 0, 1_000_000)
	c.between("/policy/first_token_target_ms", p.FirstTokenTargetMS, 0, _maxTimeoutMS)
	c.between("/policy/long_wait_ms", p.LongWaitMS, 0, _maxTimeoutMS)
	c.between("/policy/long_tokens", p.LongTokens, 0, _maxTokens)
	c.between("/policy/long_share_percent", p.LongSharePercent, 0, 100)
	c.between("/policy/max_loads", p.MaxLoads, 0, _maxReplicas)
	c.between("/policy/retention_hours", p.RetentionHours, 0, 24*365)
	if p.EvidenceLimit() < 2*p.ProbeInterval() {
		c.fault("/policy/evidence_limit_ms", "evidence would lapse between two probes", "at least twice probe_interval_ms")
	}
}
