package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Document is the whole configuration. The zero value is the valid empty
// configuration.
type Document struct {
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Groups        map[string]Group        `json:"groups,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	// Instances holds what operators say of single instances, by name.
	Instances map[string]Instance `json:"instances,omitempty"`
	Policy    Policy              `json:"policy,omitzero"`
}

// Instance is what operators say of one instance: an engine's, or an upstream
// of a plain service.
type Instance struct {
	// Draining gives the instance no new work; what is under way finishes.
	Draining bool `json:"draining,omitempty"`
}

// Organisation is a customer that calls the system.
type Organisation struct {
	// Weight is the organisation's part of a contended group; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// KeysSHA256 are the hex SHA-256 digests of its API keys.
	KeysSHA256 []string `json:"keys_sha256"`
}

// Group is a serving group: replicas of one model version for some
// organisations in one data centre.
type Group struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// DataCentre is where the replicas are formed.
	DataCentre string `json:"data_centre"`
	// Replicas and Members declare the capacity: Replicas copies that span
	// Members instances each.
	Replicas int `json:"replicas"`
	Members  int `json:"members"`
	// Slots is the number of answers that a replica generates at once; 0 means
	// DefaultSlots.
	Slots int `json:"slots,omitempty"`
	// Organisations that may use the group; empty means all.
	Organisations []string `json:"organisations,omitempty"`
	// Priority orders groups when instances are short; a higher one is formed
	// first.
	Priority int `json:"priority,omitempty"`
}

// Service is a plain service behind the system.
type Service struct {
	Upstreams map[string]Upstream `json:"upstreams"`
	// Unrepeatable says that a call must run at most once.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// TimeoutMS bounds one call; 0 means DefaultServiceTimeout.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// Organisations that may call the service; empty means all.
	Organisations []string `json:"organisations,omitempty"`
}

// Upstream is one server of a plain service.
type Upstream struct {
	Address    string `json:"address"` // host:port by IP number
	DataCentre string `json:"data_centre"`
}

// Policy tunes the decisions; every zero means the default of its accessor.
type Policy struct {
	// ProbeIntervalMS is the time between two probes of an instance.
	ProbeIntervalMS int `json:"probe_interval_ms,omitempty"`
	// EvidenceLimitMS is how old evidence of a member may be when work is
	// dispatched to its replica.
	EvidenceLimitMS int `json:"evidence_limit_ms,omitempty"`
	// UnconfirmedWindowMS is how long before a chunk's arrival the evidence of
	// all members may be when the chunk is passed to the caller; 0 means that
	// the evidence must be newer than the chunk.
	UnconfirmedWindowMS int `json:"unconfirmed_window_ms,omitempty"`
	// MaxQueue bounds the requests waiting in one entry.
	MaxQueue int `json:"max_queue,omitempty"`
	// FirstTokenTargetMS is the wait for the first token past which a request
	// is refused early.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty"`
	// LongWaitMS is how long a request for a long answer may wait for a place.
	LongWaitMS int `json:"long_wait_ms,omitempty"`
	// LongTokens is the predicted length from which an answer counts as long.
	LongTokens int `json:"long_tokens,omitempty"`
	// LongSharePercent caps the slots of a replica that long answers may hold.
	LongSharePercent int `json:"long_share_percent,omitempty"`
	// RetentionHours is how long the record of an unrepeatable call is kept.
	RetentionHours int `json:"retention_hours,omitempty"`
	// MaxLoads bounds the replicas of a data centre that load at once, so that
	// the weight store's rate is kept.
	MaxLoads int `json:"max_loads,omitempty"`
}

// Defaults of the document's optional values.
const (
	DefaultSlots            = 8
	DefaultServiceTimeout   = 30 * time.Second
	DefaultProbeInterval    = 100 * time.Millisecond
	DefaultEvidenceLimit    = time.Second
	DefaultMaxQueue         = 1024
	DefaultFirstTokenTarget = 1500 * time.Millisecond
	DefaultLongWait         = 30 * time.Second
	DefaultLongTokens       = 512
	DefaultLongSharePercent = 40
	DefaultRetentionHours   = 72
	DefaultMaxLoads         = 8
)

// Parse reads a document and validates it. Unknown members are faults.
func Parse(text []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("validator: parse the configuration: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Document{}, fmt.Errorf("validator: parse the configuration: text after the document")
	}
	if faults := d.Validate(); len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}

// ProbeInterval returns the time between two probes of an instance.
func (p Policy) ProbeInterval() time.Duration {
	return millis(p.ProbeIntervalMS, DefaultProbeInterval)
}

// EvidenceLimit returns the greatest age of evidence at dispatch.
func (p Policy) EvidenceLimit() time.Duration {
	return millis(p.EvidenceLimitMS, DefaultEvidenceLimit)
}

// UnconfirmedWindow returns how much older than a chunk its evidence may be.
func (p Policy) UnconfirmedWindow() time.Duration {
	return millis(p.UnconfirmedWindowMS, 0)
}

// FirstTokenTarget returns the wait past which a request is refused early.
func (p Policy) FirstTokenTarget() time.Duration {
	return millis(p.FirstTokenTargetMS, DefaultFirstTokenTarget)
}

// LongWait returns how long a request for a long answer may wait for a place.
func (p Policy) LongWait() time.Duration { return millis(p.LongWaitMS, DefaultLongWait) }

// Retention returns how long call records are kept.
func (p Policy) Retention() time.Duration {
	return time.Duration(orDefault(p.RetentionHours, DefaultRetentionHours)) * time.Hour
}

// LoadLimit returns the number of replicas of a data centre that may load at
// once.
func (p Policy) LoadLimit() int { return orDefault(p.MaxLoads, DefaultMaxLoads) }

// QueueLimit returns the bound of waiting requests.
func (p Policy) QueueLimit() int { return orDefault(p.MaxQueue, DefaultMaxQueue) }

// LongThreshold returns the predicted length, in tokens, from which work is long.
func (p Policy) LongThreshold() int { return orDefault(p.LongTokens, DefaultLongTokens) }

// LongShare returns the part of a replica's slots open to long work, 0 to 1.
func (p Policy) LongShare() float64 {
	return float64(orDefault(p.LongSharePercent, DefaultLongSharePercent)) / 100
}

// Timeout returns the bound of one call.
func (s Service) Timeout() time.Duration { return millis(s.TimeoutMS, DefaultServiceTimeout) }

// SlotCount returns the answers that one replica generates at once.
func (g Group) SlotCount() int { return orDefault(g.Slots, DefaultSlots) }

// EffectiveWeight returns the organisation's weight.
func (o Organisation) EffectiveWeight() int { return orDefault(o.Weight, 1) }

func millis(value int, otherwise time.Duration) time.Duration {
	if value == 0 {
		return otherwise
	}
	return time.Duration(value) * time.Millisecond
}

func orDefault(value, otherwise int) int {
	if value == 0 {
		return otherwise
	}
	return value
}
