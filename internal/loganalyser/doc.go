// Package loganalyser reads the structured logs of processes and tells what
// became of each request: on time, late and why, refused and why, or failed. It
// prints a table and draws service over time.
package loganalyser
