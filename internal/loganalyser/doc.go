// Package loganalyser reads the structured logs of instances and classifies each
// request: on time, or late, refused, cut or failed, with the cause. It writes a table
// of the causes, and a chart of the outcomes over time.
package loganalyser
