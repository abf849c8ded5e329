// Package recorder keeps the records of calls that may not be repeated.
//
// A record is created in the platform, under the condition that it doesn't
// exist, before its call is sent. Only the attempt that created it may send the
// call, and no other ever takes it over.
package recorder
