// Package comparer compares JSON documents value by value, and takes changes
// back.
//
// It is pure: the same input always gives the same output.
package comparer
