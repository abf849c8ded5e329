// Package queuer orders waiting requests by weighted fair queuing between
// organisations. Within an organisation, short requests go before long ones until
// a long one has waited for AgingLimit.
//
// It has no clock and does no I/O: the caller passes in the current time.
package queuer
