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

// answerWriter gives an answer to the caller.
type answerWriter interface {
	piece(p streamer.Piece) error
	end()
	// started says that a part of the answer was sent.
	started() bool
}

// wholeWriter gathers an answer and sends it in one.
type wholeWriter struct {
	gin    *gin.Context
	model  string
	text   strings.Builder
	finish string
	tokens int
}

func (w *wholeWriter) piece(p streamer.Piece) error {
	w.text.WriteString(p.Text)
	w.tokens += p.Tokens
	if p.FinishReason != "" {
		w.finish = p.FinishReason
	}
	return nil
}

func (w *wholeWriter) started() bool { return false }

func (w *wholeWriter) end() {
	w.gin.Header("Lb-Outcome", "ran")
	w.gin.JSON(http.StatusOK, gin.H{
		"id": "chatcmpl-" + who(w.gin).request, "object": "chat.completion", "created": time.Now().Unix(), "model": w.model,
		"choices": []gin.H{{
			"index": 0, "finish_reason": w.finish,
			"message": engineclient.ChatMessage{Role: "assistant", Content: w.text.String()},
		}},
		"usage": gin.H{"completion_tokens": w.tokens, "prompt_tokens": 0, "total_tokens": w.tokens},
	})
}

// streamWriter sends an answer as server-sent events.
type streamWriter struct {
	gin   *gin.Context
	model string
	// limit bounds the time for the caller to take one event; 0 means no limit.
	limit time.Duration
	begun bool
}

// chunk is one event as callers see it.
type chunk struct {
	ID      string                     `json:"id"`
	Object  string                     `json:"object"`
	Created int64                      `json:"created"`
	Model   string                     `json:"model"`
	Choices []engineclient.ChunkChoice `json:"choices"`
}

func (w *streamWriter) piece(p streamer.Piece) error {
	c := chunk{ID: "chatcmpl-" + who(w.gin).request, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: w.model}
	c.Choices = []engineclient.ChunkChoice{{Delta: engineclient.Delta{Content: p.Text}}}
	if !w.begun {
		w.begun = true
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
	return w.send(string(text))
}

func (w *streamWriter) started() bool { return w.begun }

func (w *streamWriter) end() { _ = w.send("[DONE]") }

func (w *streamWriter) send(data string) error {
	control := http.NewResponseController(w.gin.Writer)
	if w.limit > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(w.limit))
		// The connection may carry another request later.
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := fmt.Fprintf(w.gin.Writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return control.Flush()
}
