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

// handleChat handles POST /v1/chat/completions.
func (s *Server) handleChat(c *gin.Context) {
	q, problem := s.readChatRequest(c)
	if problem == nil && !s.offersModel(identityOf(c).organisation, q.Model) {
		problem = &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-model", Message: fmt.Sprintf("no group serves model %q to your organisation", q.Model),
			Outcome: responder.NotRun, Remedy: "use a model of GET /v1/models",
		}
	}
	if problem != nil {
		s.refuse(c, problem)
		return
	}
	var w chatWriter = &bufferedWriter{gin: c, model: q.Model}
	if q.Stream {
		w = &streamWriter{gin: c, model: q.Model, writeLimit: s.WriteLimit}
	}
	if problem := s.completeChat(c, q, w); problem != nil {
		if w.started() {
			// A refusal can't follow a part of a stream. The connection is closed
			// instead, and the missing end marker tells the caller that the
			// completion is incomplete.
			s.Log.Warn("answer-cut", logger.Fields{"request": identityOf(c).request, "code": problem.Code, "message": problem.Message})
			panic(http.ErrAbortHandler)
		}
		s.refuse(c, problem)
	}
}

// readChatRequest reads and checks the body of a chat request.
func (s *Server) readChatRequest(c *gin.Context) (engineclient.ChatRequest, *responder.Problem) {
	var q engineclient.ChatRequest
	body, problem := s.readBody(c)
	if problem != nil {
		return q, problem
	}
	badRequest := func(message, remedy string) *responder.Problem {
		return &responder.Problem{Status: http.StatusBadRequest, Code: "bad-request", Message: message, Outcome: responder.NotRun, Remedy: remedy}
	}
	if err := json.Unmarshal(body, &q); err != nil {
		return q, badRequest("the body is not the JSON of a chat request: "+err.Error(), "send a JSON object with model and messages")
	}
	if q.Model == "" {
		return q, badRequest("model is missing", "name a model of GET /v1/models")
	}
	if len(q.Messages) == 0 {
		return q, badRequest("messages is empty", "send at least one message")
	}
	if q.MaxTokens < 0 {
		return q, badRequest("max_tokens is negative", "send 1 or more, or leave it out")
	}
	// Callers can't set Resume and Priority, which are for this system's requests
	// to an engine.
	q.Resume, q.Priority = nil, 0
	return q, nil
}

// readBody reads a whole request body of at most MaxBodyBytes within ReadLimit.
func (s *Server) readBody(c *gin.Context) ([]byte, *responder.Problem) {
	// A body with a declared length over the limit is refused before the caller
	// sends it.
	declaredTooLarge := c.Request.ContentLength > s.MaxBodyBytes
	var body []byte
	var err error
	if !declaredTooLarge {
		body, err = s.readLimited(c)
	}
	var tooLarge *http.MaxBytesError
	if declaredTooLarge || errors.As(err, &tooLarge) {
		return nil, &responder.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Message: fmt.Sprintf("the body is over %d bytes", s.MaxBodyBytes),
			Outcome: responder.NotRun, Remedy: "send a smaller body",
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &responder.Problem{
			Status: http.StatusRequestTimeout, Code: "body-late", Message: fmt.Sprintf("the body did not arrive within %s", s.ReadLimit),
			Outcome: responder.NotRun, Remedy: "send the complete request again",
		}
	}
	if err != nil {
		return nil, &responder.Problem{
			Status: http.StatusBadRequest, Code: "body-cut", Message: "the request body is incomplete: " + err.Error(),
			Outcome: responder.NotRun, Remedy: "send the complete request again",
		}
	}
	return body, nil
}

// readLimited reads the request's body, and fails where it is longer than
// MaxBodyBytes or takes longer than ReadLimit.
func (s *Server) readLimited(c *gin.Context) ([]byte, error) {
	if s.ReadLimit > 0 {
		control := http.NewResponseController(c.Writer)
		_ = control.SetReadDeadline(time.Now().Add(s.ReadLimit))
		// A deadline left in place would expire later and look like a caller that
		// hung up.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	return io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.MaxBodyBytes))
}

// offersModel reports whether any group serves the model to the organisation.
func (s *Server) offersModel(organisation, model string) bool {
	return slices.Contains(offeredModels(s.Configuration.Current().Document(), organisation), model)
}

// offeredModels returns the names of the models that an organisation may use,
// sorted.
func offeredModels(d validator.Document, organisation string) []string {
	models := make(map[string]bool)
	for _, g := range d.Groups {
		if len(g.Organisations) == 0 || slices.Contains(g.Organisations, organisation) {
			models[g.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(models))
}

// handleModels handles GET /v1/models.
func (s *Server) handleModels(c *gin.Context) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := make([]model, 0)
	for _, m := range offeredModels(s.Configuration.Current().Document(), identityOf(c).organisation) {
		list = append(list, model{ID: m, Object: "model", OwnedBy: "lycheebarrow"})
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}
