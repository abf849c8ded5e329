package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
)

// chatWriter writes a chat completion to the caller.
type chatWriter interface {
	writePiece(p streamer.Piece) error
	finish()
	// started reports whether a part of the completion was sent.
	started() bool
}

// bufferedWriter buffers a completion and sends it as one JSON response.
type bufferedWriter struct {
	gin          *gin.Context
	model        string
	text         strings.Builder
	finishReason string
	tokens       int
}

func (w *bufferedWriter) writePiece(p streamer.Piece) error {
	w.text.WriteString(p.Text)
	w.tokens += p.Tokens
	if p.FinishReason != "" {
		w.finishReason = p.FinishReason
	}
	return nil
}

func (w *bufferedWriter) started() bool { return false }

func (w *bufferedWriter) finish() {
	w.gin.Header("Lb-Outcome", "ran")
	w.gin.JSON(http.StatusOK, gin.H{
		"id": "chatcmpl-" + identityOf(w.gin).request, "object": "chat.completion", "created": time.Now().Unix(), "model": w.model,
		"choices": []gin.H{{
			"index": 0, "finish_reason": w.finishReason,
			"message": engineclient.ChatMessage{Role: "assistant", Content: w.text.String()},
		}},
		"usage": gin.H{"completion_tokens": w.tokens, "prompt_tokens": 0, "total_tokens": w.tokens},
	})
}

// streamWriter sends a completion as server-sent events.
type streamWriter struct {
	gin   *gin.Context
	model string
	// writeLimit bounds the time for writing one event to the caller; 0 means no
	// limit.
	writeLimit time.Duration
	sentFirst  bool
}

// chunk is the JSON of one event, as in the OpenAI API.
type chunk struct {
	ID      string                     `json:"id"`
	Object  string                     `json:"object"`
	Created int64                      `json:"created"`
	Model   string                     `json:"model"`
	Choices []engineclient.ChunkChoice `json:"choices"`
}

func (w *streamWriter) writePiece(p streamer.Piece) error {
	c := chunk{ID: "chatcmpl-" + identityOf(w.gin).request, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: w.model}
	c.Choices = []engineclient.ChunkChoice{{Delta: engineclient.Delta{Content: p.Text}}}
	if !w.sentFirst {
		if !beginStream(w.gin) {
			return errSettled
		}
		w.sentFirst = true
		c.Choices[0].Delta.Role = "assistant"
		w.gin.Header("Content-Type", "text/event-stream")
		w.gin.Header("Cache-Control", "no-store")
	}
	if p.FinishReason != "" {
		c.Choices[0].FinishReason = &p.FinishReason
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return w.writeEvent(string(text))
}

func (w *streamWriter) started() bool { return w.sentFirst }

func (w *streamWriter) finish() { _ = w.writeEvent("[DONE]") }

func (w *streamWriter) writeEvent(data string) error {
	control := http.NewResponseController(w.gin.Writer)
	if w.writeLimit > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(w.writeLimit))
		// Clear the deadline, since the connection may carry another request later.
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := fmt.Fprintf(w.gin.Writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return control.Flush()
}
