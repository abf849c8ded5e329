// Package storer is the client of the platform's object API: versions,
// conditional updates, prefix lists, watches and the list of instances.
//
// The protocol is HTTP with JSON:
//
//	GET    /objects/KEY                     the value; ETag carries the version; 404
//	GET    /objects/KEY?after=V&wait_ms=N   waits until the version passes V; 304 on time-out
//	GET    /objects?prefix=P                {"objects":[{"key","version","value"}]}
//	PUT    /objects/KEY  If-Match: "V"      200 with the new ETag, 412 on a conflict
//	PUT    /objects/KEY  If-None-Match: *   creates; 412 where it exists
//	DELETE /objects/KEY  If-Match: "V"      204; 412 on a conflict
//	GET    /instances                       {"instances":[...]}, lagging
//
// A version is a number above 0 that grows with each write of an object, also
// across deletion. 429 says that the call rate is used up, 503 that the
// platform is out; both did nothing.
package storer
