// Package recorder keeps the records of calls that may not be repeated.
//
// A record is created in the platform, under the condition that it doesn't
// exist, before its call is sent. Only the attempt that created it may send the
// call, and no other takes it over while its outcome is open. An attempt that
// ended without sending stores the outcome NOT_RUN, and only such a record may
// be claimed again, by a conditional update on its version.
//
// A write whose answer was lost may take effect later. Each write is therefore
// conditional and carries its attempt's owner id, so that repeating it can't
// claim a record twice. An attempt that gives up with such a write still out
// never sends its call, and stores NOT_RUN in the background.
//
// Expired records are deleted by the Trimmer. Keys that carry their time are
// refused by CheckKey before their records can be gone.
package recorder
