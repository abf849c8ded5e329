// Package accountant divides the memory of an instance among all that callers, upstreams and
// peers can make it hold, so that the sum of the bounds stays below the limit of the process.
// The table in docs/CAPACITY.md shows the division; a test holds it to this package.
package accountant
