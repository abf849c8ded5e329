// Package registrar is the micro-kernel of a program: a registry in which services are
// registered under a name, and in which other services find them by that name.
//
// The composition root of each program fills a Registrar while fx builds the program.
// Afterwards the Registrar is only read.
package registrar
