// Package surveyor learns which upstreams of plain services are leaving.
//
// It asks each configured upstream for its status, GET /status with the answer
// {"leaving":true}, and reads the platform's list of instances. A service
// without a status, or one whose status fails, is not taken out by that.
package surveyor
