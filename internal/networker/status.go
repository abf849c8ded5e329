package networker

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus says that the status of a response can't end an exchange, such as 000 or 600.
// What came is no response in HTTP, and says nothing of the request.
var ErrInvalidStatus = errors.New("status is no final status of HTTP")

// CheckFinalStatus returns ErrInvalidStatus unless a response with that status can end an
// exchange: the status is from 200 to 599 (RFC 9110, section 15).
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("status %03d: %w", status, ErrInvalidStatus)
	}
	return nil
}

// IsInterimStatus reports whether another response follows one with that status. No request of
// lycheebarrow asks to switch protocols, so 101 is no such status.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// StatusTransport is an http.Transport that returns an error in place of a response whose status
// is invalid. net/http hands out any status that it doesn't take for an interim one.
type StatusTransport struct{ *http.Transport }

// RoundTrip sends a request and returns the response, or an error that wraps ErrInvalidStatus.
func (t StatusTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckFinalStatus(res.StatusCode); err != nil {
		_ = res.Body.Close() // the connection is closed, unless nothing is left to read
		return nil, err
	}
	return res, nil
}
