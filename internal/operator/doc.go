// Package operator serves the HTTP API for operators, which lbctl uses.
//
//	GET  /operator/v1/configuration            number, document and recent changes
//	POST /operator/v1/configuration            configurer.Patch; 200 with the change,
//	                                           409 with the change that won, 422 with faults
//	GET  /operator/v1/configuration/changes    up to 100 changes after ?after=N, oldest first
//	GET  /operator/v1/placements               placements by fabric domain
//	GET  /operator/v1/instances                all known instances with their probe results
//	GET  /operator/v1/decisions?request=ID     the latest decision events of a request
//	GET  /operator/v1/processes                all known processes, each with the number of
//	                                           its configuration and the age of its record
//	GET  /operator/v1/process                  this process and the number of its configuration
//
// Each request must carry an operator's token as a bearer token.
package operator
