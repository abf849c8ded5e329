// Package logger writes one line of key=value pairs for each event.
//
// Every line carries the keys time, level and event. The events route and place
// are the decision log, from which operators learn why a request went to a
// replica and why a replica was formed, drained or repaired.
package logger
