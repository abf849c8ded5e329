// Package pauser waits for a duration, or until a context ends.
package pauser
