// Package enumerator counts the processes of the system, so that each can take
// its share of what they have in common: budgets of retries, the store's rates.
// A process is an object in the platform's store that it renews now and then.
package enumerator
