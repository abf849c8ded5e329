// Package registrar is the micro-kernel: services register under a name, and
// other services find them by that name.
//
// The composition root of each program fills a Registrar while fx builds the
// program; after that it is only read.
package registrar
