package streamer_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
)

// FuzzRead checks that no response counts as complete without its end marker.
func FuzzRead(f *testing.F) {
	chunk := `data: {"id":"a","lb_index":0,"choices":[{"delta":{"content":"ውሃ"}}]}` + "\n\n"
	f.Add([]byte(chunk + "data: [DONE]\n\n"))
	f.Add([]byte(chunk[:40]))
	f.Add([]byte(chunk + chunk))
	f.Add([]byte("data: {\"id\":\"b\"}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		_, complete := streamer.ReadText(response, "a")
		if complete {
			assert.True(t, bytes.Contains(response, []byte("[DONE]")))
		}
	})
}
