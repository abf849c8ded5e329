// Package storer is the client of the platform's object API, which offers
// versioned objects, conditional updates, lists by key prefix, watches and the
// list of instances.
//
// The protocol is HTTP with JSON:
//
//	GET    /objects/KEY                     returns the value, with the version in ETag; 404 if missing
//	GET    /objects/KEY?after=V&wait_ms=N   returns the value once the version is above V; 304 after N ms
//	GET    /objects?prefix=P                returns {"objects":[{"key","version","value"}]}
//	PUT    /objects/KEY  If-Match: "V"      replaces; 200 with the new ETag, 412 on a conflict
//	PUT    /objects/KEY  If-None-Match: *   creates; 412 if the object exists
//	DELETE /objects/KEY  If-Match: "V"      deletes; 204, 412 on a conflict
//	GET    /instances                       returns {"instances":[...]}, which may be out of date
//
// A version is a number above 0 that grows with each write of an object, even
// when the object is deleted and created again. Status 429 says that the
// platform's rate limit is exceeded, and 503 that the platform is unavailable;
// in both cases the call had no effect.
package storer
