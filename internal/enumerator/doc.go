// Package enumerator lists and counts the running processes of the system, so that
// each can reach its peers and compute its share of system-wide limits: retry budgets
// and the store's rate limits. Each process is registered by an object in the
// platform's store, which it renews about once a minute as a heartbeat.
package enumerator
