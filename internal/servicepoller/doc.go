// Package servicepoller finds out which upstreams of plain services are leaving,
// that is, are about to stop and should get no new calls.
//
// It polls each configured upstream with GET /status, whose answer has
// {"leaving":true} if the upstream is leaving, and also reads the platform's list of
// instances. An upstream that has no such path, or whose status request fails, stays
// in use.
package servicepoller
