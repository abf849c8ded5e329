package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

// _queuePerSlot is the maximum number of requests that wait in an engine, for each slot.
const _queuePerSlot = 2

// _maxDefaultTokens is the maximum number of tokens in the answer to a prompt that
// doesn't set the number with "[tokens=N]".
const _maxDefaultTokens = 64

// _wrongAttemptID is the attempt id in answers with a wrong id; no caller uses it.
const _wrongAttemptID = "another-attempt"

// _garbageToken is the token that a leader generates while a member is missing.
const _garbageToken = "garbage "

var _tokenCountPattern = regexp.MustCompile(`\[tokens=(\d+)\]`)

var (
	_englishWords = strings.Fields("the form needs your name date of birth visa number and a signed copy of each page before lodging")
	_amharicWords = strings.Fields("ማስታወቂያ ለ ቀበሌ ነዋሪዎች ውሃ ነገ ጠዋት ይቋረጣል ክሊኒኩ ሰኞ ዝግ ነው እናመሰግናለን")
)

// ExpectedTokens returns the tokens that every engine generates for a prompt, so that
// tests can tell whether an answer is whole and belongs to its request. The prompt can
// set their number with "[tokens=N]"; a limit above 0 bounds it.
func ExpectedTokens(prompt string, limit int) []string {
	count := 1 + int(hash(prompt)%_maxDefaultTokens)
	if m := _tokenCountPattern.FindStringSubmatch(prompt); m != nil {
		count, _ = strconv.Atoi(m[1])
	}
	if limit > 0 {
		count = min(count, limit)
	}
	list := _englishWords
	if strings.ContainsFunc(prompt, func(r rune) bool { return r > 0x1200 }) {
		list = _amharicWords
	}
	out := make([]string, count)
	for i := range out {
		out[i] = list[hash(prompt+strconv.Itoa(i))%uint64(len(list))] + " "
	}
	return out
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(engineclient.HeaderAttempt)
	w.Header().Set(engineclient.HeaderAttempt, attempt)
	var q engineclient.ChatRequest
	if !decodeJSON(w, r, &q) {
		return
	}
	o, ok := e.orderAsLeader(r)
	if !ok || !e.membersPresent(r.Context(), o) && !e.currentFaults().IgnoreMembers {
		w.WriteHeader(http.StatusConflict)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.admit(ctx, attempt, cancel) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer e.finish(attempt)
	e.generate(ctx, w, q, o, attempt)
}

// orderAsLeader returns the current order, and whether the engine is ready and leads the
// replica and generation that the headers of the request name.
func (e *Engine) orderAsLeader(r *http.Request) (engineclient.Order, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	o := e.order
	generation := strconv.FormatUint(o.Generation, 10)
	ok := e.state == engineclient.StateReady && len(o.Members) > 0 && o.Members[0] == e.options.Name &&
		r.Header.Get(engineclient.HeaderReplica) == o.Replica && r.Header.Get(engineclient.HeaderGeneration) == generation
	return o, ok
}

// admit waits for a slot and registers the attempt. It returns false if the queue is
// full or ctx is done.
func (e *Engine) admit(ctx context.Context, attempt string, cancel context.CancelFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots := max(1, int(e.order.Slots))
	if e.waiting >= slots*_queuePerSlot {
		return false
	}
	for e.running >= slots {
		slotFreed := e.slotFreed
		e.waiting++
		e.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
		}
		e.mu.Lock()
		e.waiting--
		if ctx.Err() != nil {
			return false
		}
	}
	e.running++
	e.attempts[attempt] = cancel
	return true
}

func (e *Engine) finish(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	delete(e.attempts, attempt)
	close(e.slotFreed)
	e.slotFreed = make(chan struct{})
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, q engineclient.ChatRequest, o engineclient.Order, attempt string) {
	prompt := q.Messages[len(q.Messages)-1].Content
	f := e.currentFaults()
	header, id := attempt, attempt
	if f.WrongAttemptHeader {
		header = _wrongAttemptID
	}
	if f.WrongChunkID {
		id = _wrongAttemptID
	}
	if f.WrongAttemptHeader || f.WrongChunkID {
		prompt += " of another caller"
	}
	tokens := ExpectedTokens(prompt, q.MaxTokens)
	first := 0
	if q.Resume != nil {
		first = min(q.Resume.Tokens, len(tokens))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engineclient.HeaderAttempt, header)
	w.Header().Set(engineclient.HeaderReplica, o.Replica)
	w.Header().Set(engineclient.HeaderGeneration, strconv.FormatUint(o.Generation, 10))
	lastCheck := time.Now()
	for i := first; i < len(tokens); i++ {
		f = e.currentFaults()
		if !pauser.Pause(ctx, e.options.TokenTime*time.Duration(max(1, f.SlowFactor))) {
			panic(http.ErrAbortHandler)
		}
		if f.CutAfterTokens > 0 && i-first >= f.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if f.EndAfterTokens > 0 && i-first >= f.EndAfterTokens {
			return
		}
		if time.Since(lastCheck) >= _memberCheckInterval && !f.IgnoreMembers {
			e.requireMembers(ctx, o)
			lastCheck = time.Now()
		}
		if f.IgnoreMembers && !e.membersPresent(ctx, o) {
			tokens[i] = _garbageToken
		}
		e.emitToken(w, q, id, i, tokens[i], i == len(tokens)-1)
		if f.DuplicateChunks {
			e.emitToken(w, q, id, i, tokens[i], i == len(tokens)-1)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// requireMembers fails the replica and aborts the request if a member is missing.
func (e *Engine) requireMembers(ctx context.Context, o engineclient.Order) {
	if e.membersPresent(ctx, o) {
		return
	}
	e.mu.Lock()
	if e.order.Generation == o.Generation {
		e.state = engineclient.StateFailed
		e.cancelAttempts()
	}
	e.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// emitToken sends one chunk with one token.
func (e *Engine) emitToken(w http.ResponseWriter, q engineclient.ChatRequest, attempt string, index int, token string, last bool) {
	c := engineclient.ChatChunk{ID: attempt, Object: "chat.completion.chunk", Model: q.Model, Index: index}
	c.Choices = []engineclient.ChunkChoice{{Delta: engineclient.Delta{Content: token}}}
	if last {
		reason := "stop"
		c.Choices[0].FinishReason = &reason
	}
	text, _ := json.Marshal(c)
	fmt.Fprintf(w, "data: %s\n\n", text)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
