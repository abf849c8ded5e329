package estimator

import "math/bits"

const (
	// _prior is how many finished answers the caller's own limit counts for.
	_prior = 1
	// _memory is how many finished answers the estimate looks back on.
	_memory = 64
	// _unlimited is the length, in tokens, expected of an answer without a limit
	// before any was seen.
	_unlimited = 256
)

// Kind tells apart the answers whose lengths are learned together.
type Kind struct {
	Organisation string
	Model        string
	// MaxTokens is the limit that the caller asked for; 0 means none.
	MaxTokens int
}

// Estimate is a predicted length.
type Estimate struct {
	Tokens int
	// Long says that the answer is more likely long than not.
	Long bool
}

// Estimator predicts lengths. The zero value takes each answer for as long as
// its limit and none for long; set LongTokens before use. It is not safe for
// concurrent use.
type Estimator struct {
	// LongTokens is the length from which an answer counts as long; 0 means
	// that none does.
	LongTokens int

	seen map[key]*history
}

// key is a Kind whose limit is rounded up to a power of two.
type key struct {
	organisation, model string
	limit               int
}

// history is the decayed past of a key.
type history struct {
	count  int
	tokens float64 // mean length
	long   float64 // part of the answers that were long, 0 to 1
}

// Predict returns the expected length of an answer.
func (e *Estimator) Predict(k Kind) Estimate {
	h := e.prior(k)
	if x, ok := e.seen[keyOf(k)]; ok {
		h = *x
	}
	tokens := max(1, int(h.tokens))
	if k.MaxTokens > 0 {
		tokens = min(tokens, k.MaxTokens)
	}
	return Estimate{Tokens: tokens, Long: h.long > 0.5}
}

// Observe learns from an answer that ended by itself or at its limit.
func (e *Estimator) Observe(k Kind, tokens int) {
	if e.seen == nil {
		e.seen = make(map[key]*history)
	}
	h, ok := e.seen[keyOf(k)]
	if !ok {
		first := e.prior(k)
		h = &first
		e.seen[keyOf(k)] = h
	}
	h.count = min(h.count+1, _memory)
	part := 1 / float64(h.count)
	h.tokens += part * (float64(tokens) - h.tokens)
	h.long += part * (e.isLong(tokens) - h.long)
}

// prior is what the caller's limit alone says.
func (e *Estimator) prior(k Kind) history {
	tokens := k.MaxTokens
	if tokens == 0 {
		tokens = _unlimited
	}
	return history{count: _prior, tokens: float64(tokens), long: e.isLong(tokens)}
}

// isLong returns 1 for a long answer and 0 for a short one.
func (e *Estimator) isLong(tokens int) float64 {
	if e.LongTokens > 0 && tokens >= e.LongTokens {
		return 1
	}
	return 0
}

func keyOf(k Kind) key {
	return key{organisation: k.Organisation, model: k.Model, limit: bits.Len(uint(max(0, k.MaxTokens-1)))}
}
