// Package cataloguer holds what a process knows of a deployment: the operator's
// configuration (routes, services, models, organisations) and the upstreams
// that are there. Its types carry no wire names; an adapter fills them.
package cataloguer
