// Package standin holds test stand-ins for what entries and placers work with: the
// platform, model engines and a plain service. It is for tests and the demo only.
//
// Platform, Engine and Service are http.Handlers. The JSON body of POST /fault
// replaces the faults of a stand-in, so that a field that is missing is off. Store is
// the object API of the platform without a network.
package standin
