// Package apportioner divides free upstreams among models: it decides how many new groups
// of each model the fabric domains get.
//
// It is made for models whose groups differ in size. If groups were formed one at a time,
// those of the model with small groups could leave too few upstreams in each domain for a
// group of another model, which then is served nowhere. The package therefore compares all
// ways to divide a domain.
//
// The package does no I/O and reads no clock.
package apportioner
