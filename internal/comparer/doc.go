// Package comparer lists the values that differ between two JSON documents, and
// undoes such changes.
//
// Its functions are pure: their results depend only on their arguments.
package comparer
