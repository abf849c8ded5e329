package estimator

import "math/bits"

const (
	// _priorWeight is the weight of the token limit in the estimate, in completed
	// responses.
	_priorWeight = 1
	// _maxWeight bounds the weight of past responses, in responses; with more
	// than that, old ones decay exponentially.
	_maxWeight = 64
	// _defaultTokens is the predicted length, in tokens, of a response without a
	// limit before any was observed.
	_defaultTokens = 256
)

// Kind identifies responses whose lengths are learned together.
type Kind struct {
	Organisation string
	Model        string
	// MaxTokens is the token limit that the caller set; 0 means none.
	MaxTokens int
}

// Estimate is the predicted length of a response.
type Estimate struct {
	Tokens int
	// Long says that the response is more likely to be long than not.
	Long bool
}

// Estimator predicts the length of responses. The zero value learns lengths but
// predicts no response to be long; set LongTokens before use. It is not safe for
// concurrent use.
type Estimator struct {
	// LongTokens is the length in tokens from which a response is long; 0 means
	// that none is.
	LongTokens int

	histories map[key]*history
}

// key is a Kind whose limit is rounded up to a power of two.
type key struct {
	organisation, model string
	limit               int
}

// history is the decayed mean of the observations of a key.
type history struct {
	count  int
	tokens float64 // mean length in tokens
	long   float64 // fraction of long responses, 0 to 1
}

// Predict returns the expected length of a response.
func (e *Estimator) Predict(k Kind) Estimate {
	h := e.prior(k)
	if x, ok := e.histories[keyOf(k)]; ok {
		h = *x
	}
	tokens := max(1, int(h.tokens))
	if k.MaxTokens > 0 {
		tokens = min(tokens, k.MaxTokens)
	}
	return Estimate{Tokens: tokens, Long: h.long > 0.5}
}

// Observe learns from a response that ended by itself or at its limit. tokens is
// its length.
func (e *Estimator) Observe(k Kind, tokens int) {
	if e.histories == nil {
		e.histories = make(map[key]*history)
	}
	h, ok := e.histories[keyOf(k)]
	if !ok {
		first := e.prior(k)
		h = &first
		e.histories[keyOf(k)] = h
	}
	h.count = min(h.count+1, _maxWeight)
	weight := 1 / float64(h.count)
	h.tokens += weight * (float64(tokens) - h.tokens)
	h.long += weight * (e.longIndicator(tokens) - h.long)
}

// prior returns the estimate from the token limit alone.
func (e *Estimator) prior(k Kind) history {
	tokens := k.MaxTokens
	if tokens == 0 {
		tokens = _defaultTokens
	}
	return history{count: _priorWeight, tokens: float64(tokens), long: e.longIndicator(tokens)}
}

// longIndicator returns 1 for a long response and 0 for a short one.
func (e *Estimator) longIndicator(tokens int) float64 {
	if e.LongTokens > 0 && tokens >= e.LongTokens {
		return 1
	}
	return 0
}

func keyOf(k Kind) key {
	return key{organisation: k.Organisation, model: k.Model, limit: bits.Len(uint(max(0, k.MaxTokens-1)))}
}
