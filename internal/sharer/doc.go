// Package sharer lets instances share state that each of them would otherwise have to
// read or estimate alone: the platform's objects, and the number of requests that all
// of them together have in flight at each upstream. Each instance is one process.
//
// The package is made for many processes in front of the same upstreams, each with few
// requests of its own. One process of each data centre is its gatherer: it watches
// the platform and sums the loads of the data centre's processes. The others send it
// their load several times a second and get back the total load and the changes of
// the platform's objects. The gatherers exchange the loads of their data centres.
//
// There is no election and no agreement protocol. Each process derives the gatherers
// from its own list of processes. A process reads the platform itself when its
// gatherer does not answer, lags behind, or cannot provide the changes.
package sharer
