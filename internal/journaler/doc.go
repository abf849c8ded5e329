// Package journaler keeps the newest decision events of a process in memory, so that
// operators can look up why a request was refused or sent to a particular upstream.
package journaler
