package engineclient

// Headers of a chat call and of its answer. A status call and its answer have
// HeaderAttempt only.
const (
	HeaderAttempt    = "Lb-Attempt"
	HeaderReplica    = "Lb-Replica"
	HeaderGeneration = "Lb-Generation"
)

// State is the state of an engine instance.
type State string

// States of an engine instance.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
	// StateFailed says that the instance's replica lost a member; the instance
	// waits for a new order.
	StateFailed State = "failed"
)

// Status is what an instance reports about itself.
type Status struct {
	Instance   string   `json:"instance"`
	Boot       string   `json:"boot"` // ID of the engine's run, new with each start
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Members    []string `json:"members,omitempty"`
	State      State    `json:"state"`
	Leaving    bool     `json:"leaving,omitempty"` // the instance announces that it will leave
	// Slots is how many answers the replica can generate at once, InFlight how
	// many it is generating and Queued how many wait. The leader reports them,
	// with a delay.
	Slots    uint32 `json:"slots,omitempty"`
	InFlight uint32 `json:"in_flight,omitempty"`
	Queued   uint32 `json:"queued,omitempty"`
	// LoadSeconds is how long the instance needs, or needed, to load the model.
	LoadSeconds float64 `json:"load_seconds,omitempty"`
}

// Order tells an instance which replica to join. An empty Replica releases the
// instance from its replica.
type Order struct {
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation"` // the fencing number
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Members    []string `json:"members,omitempty"`   // names of the instances, the leader first
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
	// Priority is the engine's scheduling priority; a lower number runs first.
	Priority int `json:"priority,omitempty"`
	// Resume asks for the rest of an answer that was received in part; nil asks
	// for a whole answer.
	Resume *Resume `json:"resume,omitempty"`
}

// Resume is the part of an answer that was already received: its text and the
// number of its tokens.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// ChatChunk is one event of a streamed answer.
type ChatChunk struct {
	ID      string        `json:"id"` // ID of the attempt
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// Index is the position of the chunk's first token in the whole answer, from 0.
	Index int `json:"lb_index"`
	// Tokens is how many tokens the chunk holds; 0 means 1.
	Tokens int `json:"lb_tokens,omitempty"`
}

// ChunkChoice is the only choice of a chunk, in the OpenAI format.
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
