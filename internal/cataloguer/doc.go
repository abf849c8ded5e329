// Package cataloguer holds a process's latest copy of the operator's
// configuration (routes, services, models, organisations) and of the fleet of
// upstreams. Its types carry no wire names; the platform adapter decodes the
// platform's format into them.
package cataloguer
