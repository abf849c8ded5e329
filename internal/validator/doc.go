// Package validator holds the configuration document and checks it.
//
// The document is what operators patch: organisations, serving groups, plain
// services and the policy. Validate names every fault by its JSON pointer with
// the values that are allowed.
package validator
