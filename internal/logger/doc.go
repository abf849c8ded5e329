// Package logger writes one key=value line for each event.
//
// Every line carries time, level and event; route and place events are the
// decision log that operators read to explain what the system did.
package logger
