package forwarder

import (
	"bytes"
	"net/http"
	"regexp"
)

// _statusLine matches the beginning of a response.
var _statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isSpliced reports whether the head of a response contains the beginning of another one. An
// upstream in trouble may send a part of a head and then a complete response: the fields of
// both would be taken for those of one.
func isSpliced(r *http.Response) bool {
	if containsStatusLine([]byte(r.Status)) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if containsStatusLine([]byte(v)) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether b contains the beginning of a response. The search for the
// fixed text is quicker than the expression.
func containsStatusLine(b []byte) bool {
	return bytes.Contains(b, []byte("HTTP/1.")) && _statusLine.Match(b)
}
