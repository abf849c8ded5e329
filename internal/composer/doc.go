// Package composer assembles the programs: it builds the services of an entry, a placer
// or an instance, registers each under its name, and runs them in an fx application.
package composer
