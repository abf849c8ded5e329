package streamer

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// ReadText reads an engine's answer as Run would; it returns the text and
// whether the answer was whole.
func ReadText(answer []byte, attempt string) (string, bool) {
	out := make(chan held, len(answer)+1)
	res := &http.Response{Body: io.NopCloser(bytes.NewReader(answer))}
	err := read(context.Background(), res, attempt, 0, out)
	close(out)
	text, ended := "", false
	for h := range out {
		ended = ended || h.end
		text += pieceOf(h.chunk).Text
	}
	return text, ended && err == nil
}
