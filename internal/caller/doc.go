// Package caller sends one call to a plain service and tells whether it ran.
package caller
