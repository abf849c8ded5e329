// Package pauser waits for a time that the end of a context cuts short.
package pauser
