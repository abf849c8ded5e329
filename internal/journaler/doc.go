// Package journaler keeps the newest decision events of a process in memory, so
// that operators can ask why a request went where it went.
package journaler
