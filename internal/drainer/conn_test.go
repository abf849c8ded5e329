package drainer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// _serveTime is how long a slow request is served: longer than a connection is quiet before
// it is closed.
const _serveTime = 1500 * time.Millisecond

// A request that was read together with the one before it is not cut off by a shutdown.
func TestRequestReadAheadIsNotCutOff(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-r.Context().Done():
				t.Error("the request was cancelled:", r.Context().Err())
				return
			case <-time.After(_serveTime):
			}
		}
		echo(w, r)
	}))
	c := s.dial(t)
	_, err := fmt.Fprint(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	receiveFrom(t, reader, "/first")
	drained := s.startDrain()
	receiveFrom(t, reader, "/slow")
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-drained)
}
