// Package sharer lets the instances of the users' platform share what each of them
// would otherwise read or guess alone: the platform's objects, and how many requests
// all of them have at each upstream.
//
// It answers this load: many processes before the same upstreams, each with few
// requests of its own. In each data centre one process gathers: it watches the
// platform, and the others there ask it several times a second what has changed.
// Gatherers tell each other the loads of their data centres.
//
// Nothing is agreed on. Who gathers follows from the list of processes; a process
// whose gatherer does not answer, lags behind or does not know reads the platform
// itself.
package sharer
