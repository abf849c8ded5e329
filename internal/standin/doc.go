// Package standin holds small stand-ins for what the platform gives: the object
// API, model engines and a plain service.
//
// Each is an http.Handler. POST /fault switches faults: its JSON body replaces
// the stand-in's Faults. Nothing here is part of the product.
package standin
