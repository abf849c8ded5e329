package streamer

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// ReadText parses the response of an engine as Run does. It returns the text and
// whether the response was complete.
func ReadText(response []byte, attempt string) (string, bool) {
	out := make(chan heldChunk, len(response)+1)
	res := &http.Response{Body: io.NopCloser(bytes.NewReader(response))}
	err := read(context.Background(), res, attempt, 0, out)
	close(out)
	text, ended := "", false
	for h := range out {
		ended = ended || h.end
		text += pieceOf(h.chunk).Text
	}
	return text, ended && err == nil
}
