// Package operator is the operators' HTTP API, used by lbctl.
//
//	GET  /operator/v1/configuration            number, document and recent changes
//	POST /operator/v1/configuration            configurer.Patch; 200 with the change,
//	                                           409 with the change that won, 422 with faults
//	GET  /operator/v1/configuration/changes    up to 100 changes after ?after=N, oldest first
//	GET  /operator/v1/placements               placements by fabric domain
//	GET  /operator/v1/instances                the list of instances with their evidence
//	GET  /operator/v1/decisions?request=ID     the newest decision events of a request
//	GET  /operator/v1/processes                all known processes, each with its number and age
//	GET  /operator/v1/process                  this process and the number it runs
//
// Each call carries an operator's token as a bearer token.
package operator
