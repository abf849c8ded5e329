package engineclient

// Header names of a chat call and of its answer.
const (
	HeaderAttempt    = "Lb-Attempt"
	HeaderReplica    = "Lb-Replica"
	HeaderGeneration = "Lb-Generation"
)

// State is what an engine instance is doing.
type State string

// States of an engine instance.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
	// StateFailed says that the replica lost a member; the instance waits for a
	// new order.
	StateFailed State = "failed"
)

// Status is an instance's word about itself.
type Status struct {
	Instance   string   `json:"instance"`
	Boot       string   `json:"boot"` // changes whenever the engine starts anew
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Members    []string `json:"members,omitempty"`
	State      State    `json:"state"`
	Leaving    bool     `json:"leaving,omitempty"`
	// Slots, InFlight and Queued count answers; the leader reports them, with a
	// lag.
	Slots    uint32 `json:"slots,omitempty"`
	InFlight uint32 `json:"in_flight,omitempty"`
	Queued   uint32 `json:"queued,omitempty"`
	// LoadSeconds is how long a load takes or took.
	LoadSeconds float64 `json:"load_seconds,omitempty"`
}

// Order tells an instance which replica to be part of. An empty Replica
// releases the instance.
type Order struct {
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation"` // the fencing number
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Members    []string `json:"members,omitempty"`   // names, the leader first
	Addresses  []string `json:"addresses,omitempty"` // host:port in the order of Members
	Slots      uint32   `json:"slots,omitempty"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat call.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	// Priority orders work inside the engine; a lower number goes first.
	Priority int `json:"priority,omitempty"`
	// Resume continues an answer of which a part was already received.
	Resume *Resume `json:"resume,omitempty"`
}

// Resume says what the caller already has of an answer.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// ChatChunk is one event of a streamed answer.
type ChatChunk struct {
	ID      string        `json:"id"` // the attempt
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// Index is the number of the chunk's first token in the whole answer, from 0.
	Index int `json:"lb_index"`
	// Tokens is how many tokens the chunk holds; 0 means 1.
	Tokens int `json:"lb_tokens,omitempty"`
}

// ChunkChoice is the one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}
