// Package composer puts a program together: it builds the services of an entry
// or a placer, registers each under its name, and runs them in an fx
// application.
package composer
