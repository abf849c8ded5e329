// Package reserver bounds the memory that the bodies of callers' requests take in a process.
// It answers clients that send many large bodies at once and never end them: a body that has
// stopped coming loses its memory to one that comes, small bodies have a part of their own,
// and no organisation can hold all of it.
package reserver
