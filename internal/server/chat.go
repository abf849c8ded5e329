package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c *gin.Context) {
	q, problem := s.readChat(c)
	if problem == nil && !s.offers(who(c).organisation, q.Model) {
		problem = &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-model", Message: fmt.Sprintf("no group serves model %q to you", q.Model),
			Outcome: responder.NotRun, Remedy: "use a model of GET /v1/models",
		}
	}
	if problem != nil {
		s.refuse(c, problem)
		return
	}
	var w answerWriter = &wholeWriter{gin: c, model: q.Model}
	if q.Stream {
		w = &streamWriter{gin: c, model: q.Model, limit: s.WriteLimit}
	}
	if problem := s.answer(c, q, w); problem != nil {
		if w.started() {
			// An answer under way can't turn into a refusal: the missing end
			// marker tells the caller that it is not whole.
			s.Log.Warn("answer-cut", logger.Fields{"request": who(c).request, "code": problem.Code, "message": problem.Message})
			panic(http.ErrAbortHandler)
		}
		s.refuse(c, problem)
	}
}

func (s *Server) readChat(c *gin.Context) (engineclient.ChatRequest, *responder.Problem) {
	var q engineclient.ChatRequest
	body, problem := s.readBody(c)
	if problem != nil {
		return q, problem
	}
	bad := func(message, mend string) *responder.Problem {
		return &responder.Problem{Status: http.StatusBadRequest, Code: "bad-request", Message: message, Outcome: responder.NotRun, Remedy: mend}
	}
	if err := json.Unmarshal(body, &q); err != nil {
		return q, bad("the body is not the JSON of a chat request: "+err.Error(), "send a JSON object with model and messages")
	}
	if q.Model == "" {
		return q, bad("model is missing", "name a model of GET /v1/models")
	}
	if len(q.Messages) == 0 {
		return q, bad("messages is empty", "send at least one message")
	}
	if q.MaxTokens < 0 {
		return q, bad("max_tokens is below 0", "send 1 or more, or leave it out")
	}
	// These two belong to the system's own calls of an engine.
	q.Resume, q.Priority = nil, 0
	return q, nil
}

// readBody reads a whole body within the limit.
func (s *Server) readBody(c *gin.Context) ([]byte, *responder.Problem) {
	// A length over the limit is refused before the body is sent.
	announced := c.Request.ContentLength > s.MaxBodyBytes
	var body []byte
	var err error
	if !announced {
		body, err = s.readWithin(c)
	}
	var large *http.MaxBytesError
	if announced || errors.As(err, &large) {
		return nil, &responder.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Message: fmt.Sprintf("the body is over %d bytes", s.MaxBodyBytes),
			Outcome: responder.NotRun, Remedy: "send a smaller body",
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &responder.Problem{
			Status: http.StatusRequestTimeout, Code: "body-late", Message: fmt.Sprintf("the body did not arrive within %s", s.ReadLimit),
			Outcome: responder.NotRun, Remedy: "send the request again, whole",
		}
	}
	if err != nil {
		return nil, &responder.Problem{
			Status: http.StatusBadRequest, Code: "body-cut", Message: "the body ended early: " + err.Error(),
			Outcome: responder.NotRun, Remedy: "send the request again, whole",
		}
	}
	return body, nil
}

// readWithin reads a body within the limits of size and time.
func (s *Server) readWithin(c *gin.Context) ([]byte, error) {
	if s.ReadLimit > 0 {
		control := http.NewResponseController(c.Writer)
		_ = control.SetReadDeadline(time.Now().Add(s.ReadLimit))
		// Left in place, the deadline would look like a caller that went away.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	return io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.MaxBodyBytes))
}

// offers says whether a group serves the model to the organisation.
func (s *Server) offers(organisation, model string) bool {
	return slices.Contains(offered(s.Configuration.Current().Document(), organisation), model)
}

// offered returns the models that an organisation may use, in order.
func offered(d validator.Document, organisation string) []string {
	models := make(map[string]bool)
	for _, g := range d.Groups {
		if len(g.Organisations) == 0 || slices.Contains(g.Organisations, organisation) {
			models[g.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(models))
}

func (s *Server) models(c *gin.Context) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := make([]model, 0)
	for _, m := range offered(s.Configuration.Current().Document(), who(c).organisation) {
		list = append(list, model{ID: m, Object: "model", OwnedBy: "lycheebarrow"})
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}
