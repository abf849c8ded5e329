package forwarder

import (
	"net/http"
	"regexp"
	"strings"
)

// _statusLine matches the beginning of a response.
var _statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isSpliced reports whether the head of a response contains the beginning of another one. An
// upstream in trouble may send a part of a head and then a complete response: the fields of
// both would be taken for those of one.
func isSpliced(r *http.Response) bool {
	if hasStatusLine(r.Status) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && _statusLine.MatchString(text)
}
