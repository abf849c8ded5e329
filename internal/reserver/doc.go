// Package reserver bounds the memory that bodies of requests or of responses take in a process.
// It protects the process from clients that send many large bodies at once and never end them, and
// from clients that don't read their responses: a body that has stopped coming or being taken, or does so slowly,
// loses its memory to one that moves, small bodies have a part of their own, and no organisation
// can hold all of it.
package reserver
