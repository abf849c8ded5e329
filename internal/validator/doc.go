// Package validator defines the configuration document and validates it.
//
// The document holds what operators configure: organisations, serving groups,
// plain services, settings of single instances and the policy. Validate reports
// each fault with the JSON pointer to the value and the values that are allowed.
package validator
