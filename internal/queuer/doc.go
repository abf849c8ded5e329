// Package queuer orders waiting requests.
//
// It is a pure decision. Organisations take turns by weight; within one, short
// work goes first until long work has waited too long.
package queuer
