package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Document is the whole configuration. The zero value is the empty
// configuration, which is valid.
type Document struct {
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Groups        map[string]Group        `json:"groups,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	// Instances holds operator settings for single instances, keyed by name.
	Instances map[string]Instance `json:"instances,omitempty"`
	Policy    Policy              `json:"policy,omitzero"`
}

// Instance holds the operator settings of one instance, which runs an engine or
// is an upstream of a plain service.
type Instance struct {
	// Draining stops new work from reaching the instance; work in flight
	// finishes.
	Draining bool `json:"draining,omitempty"`
}

// Organisation is a caller of the system. It authenticates with API keys.
type Organisation struct {
	// Weight sets the organisation's share of a contended group in proportion to
	// the weights of the others; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// KeysSHA256 holds the SHA-256 digests, in hex, of the organisation's API
	// keys.
	KeysSHA256 []string `json:"keys_sha256"`
}

// Group is a serving group: the replicas of one model version in one data
// centre, and the organisations that may use them.
type Group struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// DataCentre is the data centre in which the replicas are formed.
	DataCentre string `json:"data_centre"`
	// Replicas and Members declare the capacity: Replicas is the number of
	// replicas, and Members the number of instances that each replica spans.
	Replicas int `json:"replicas"`
	Members  int `json:"members"`
	// Slots is the number of completions that a replica generates concurrently; 0
	// means DefaultSlots.
	Slots int `json:"slots,omitempty"`
	// Organisations names the organisations that may use the group; empty means
	// all.
	Organisations []string `json:"organisations,omitempty"`
	// Priority decides which group is formed first when there are too few
	// instances for all; higher values come first.
	Priority int `json:"priority,omitempty"`
}

// Service is a plain service, to whose upstreams the system proxies calls.
type Service struct {
	Upstreams map[string]Upstream `json:"upstreams"`
	// Unrepeatable marks the service's calls as not idempotent: each must run at
	// most once.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// TimeoutMS is the timeout of one call, in milliseconds; 0 means
	// DefaultServiceTimeout.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// Organisations names the organisations that may call the service; empty
	// means all.
	Organisations []string `json:"organisations,omitempty"`
}

// Upstream is one server of a plain service.
type Upstream struct {
	Address    string `json:"address"` // IP address and port
	DataCentre string `json:"data_centre"`
}

// Policy holds the parameters of probing, scheduling, load limits and retention.
// Zero means the default, which the accessor methods apply.
type Policy struct {
	// ProbeIntervalMS is the time between two probes of an instance, in
	// milliseconds.
	ProbeIntervalMS int `json:"probe_interval_ms,omitempty"`
	// EvidenceLimitMS is the greatest age, in milliseconds, of the evidence that
	// a member is alive when work is dispatched to its replica.
	EvidenceLimitMS int `json:"evidence_limit_ms,omitempty"`
	// UnconfirmedWindowMS limits, in milliseconds, how long before a chunk's
	// arrival all members of the replica were last known to be alive, for the
	// chunk to be passed to the caller; 0 means that the evidence must be newer
	// than the chunk.
	UnconfirmedWindowMS int `json:"unconfirmed_window_ms,omitempty"`
	// MaxQueue is the greatest number of requests that may be queued in one
	// entry.
	MaxQueue int `json:"max_queue,omitempty"`
	// FirstTokenTargetMS is the target for the time to the first token, in
	// milliseconds; a request that would wait longer is refused early.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty"`
	// LongWaitMS is how long a request for a long completion may wait for a slot,
	// in milliseconds.
	LongWaitMS int `json:"long_wait_ms,omitempty"`
	// LongTokens is the predicted length, in tokens, from which a completion
	// counts as long.
	LongTokens int `json:"long_tokens,omitempty"`
	// LongSharePercent is the greatest percentage of a replica's slots that long
	// completions may occupy.
	LongSharePercent int `json:"long_share_percent,omitempty"`
	// RetentionHours is how long the record of an unrepeatable call is kept, in
	// hours.
	RetentionHours int `json:"retention_hours,omitempty"`
	// MaxLoads is the greatest number of replicas of a data centre that may load
	// model weights concurrently, so that the rate limit of the weight store is
	// not exceeded.
	MaxLoads int `json:"max_loads,omitempty"`
}

// Defaults for optional values of the document. DefaultLongTokens is in tokens,
// DefaultRetentionHours in hours.
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

// Parse decodes a JSON document and validates it. It returns an error for
// unknown fields and for text after the document, and Faults for a document that
// is not valid.
func Parse(text []byte) (Document, error) {
	return parse(text, Document.Validate)
}

// ParseRecorded is Parse for a document that is already in force. It accepts keys
// that several organisations share, which earlier versions accepted from operators.
func ParseRecorded(text []byte) (Document, error) {
	return parse(text, Document.validateValues)
}

func parse(text []byte, validate func(Document) Faults) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("validator: parse the configuration: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Document{}, fmt.Errorf("validator: parse the configuration: unexpected text after the document")
	}
	if faults := validate(d); len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}

// ProbeInterval returns the time between two probes of an instance.
func (p Policy) ProbeInterval() time.Duration {
	return millisecondsOr(p.ProbeIntervalMS, DefaultProbeInterval)
}

// EvidenceLimit returns the greatest age, when work is dispatched, of the
// evidence that a member is alive.
func (p Policy) EvidenceLimit() time.Duration {
	return millisecondsOr(p.EvidenceLimitMS, DefaultEvidenceLimit)
}

// UnconfirmedWindow returns how long before a chunk's arrival all members may
// last have been known to be alive, for the chunk to be passed to the caller.
func (p Policy) UnconfirmedWindow() time.Duration {
	return millisecondsOr(p.UnconfirmedWindowMS, 0)
}

// FirstTokenTarget returns the target for the time to the first token, past
// which a request is refused early.
func (p Policy) FirstTokenTarget() time.Duration {
	return millisecondsOr(p.FirstTokenTargetMS, DefaultFirstTokenTarget)
}

// LongWait returns how long a request for a long completion may wait for a slot.
func (p Policy) LongWait() time.Duration { return millisecondsOr(p.LongWaitMS, DefaultLongWait) }

// Retention returns how long the record of an unrepeatable call is kept.
func (p Policy) Retention() time.Duration {
	return time.Duration(valueOr(p.RetentionHours, DefaultRetentionHours)) * time.Hour
}

// LoadLimit returns the greatest number of replicas of a data centre that may
// load model weights concurrently.
func (p Policy) LoadLimit() int { return valueOr(p.MaxLoads, DefaultMaxLoads) }

// QueueLimit returns the greatest number of requests queued in one entry.
func (p Policy) QueueLimit() int { return valueOr(p.MaxQueue, DefaultMaxQueue) }

// LongThreshold returns the predicted length, in tokens, from which a completion
// counts as long.
func (p Policy) LongThreshold() int { return valueOr(p.LongTokens, DefaultLongTokens) }

// LongShare returns the greatest share of a replica's slots that long completions
// may occupy, from 0 to 1.
func (p Policy) LongShare() float64 {
	return float64(valueOr(p.LongSharePercent, DefaultLongSharePercent)) / 100
}

// Timeout returns the timeout of one call.
func (s Service) Timeout() time.Duration { return millisecondsOr(s.TimeoutMS, DefaultServiceTimeout) }

// SlotCount returns the number of completions that one replica generates
// concurrently.
func (g Group) SlotCount() int { return valueOr(g.Slots, DefaultSlots) }

// EffectiveWeight returns the organisation's weight, or 1 if none is set.
func (o Organisation) EffectiveWeight() int { return valueOr(o.Weight, 1) }

func millisecondsOr(value int, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return time.Duration(value) * time.Millisecond
}

func valueOr(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
