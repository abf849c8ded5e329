// Package screener decides which upstreams may take requests. Those of an evacuated
// data centre, those that are leaving and those that asked to wait take none. A cold one,
// and one that states a limit, takes requests at a limited rate, which the processes share
// without exchanging messages about single requests.
//
// Every path that sends a request asks the same Screener: first sends, retries, resumed
// streams and the decisions about groups. The package has no clock, log or transport.
package screener
