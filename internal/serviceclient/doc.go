// Package serviceclient sends one call to a plain service and tells whether it ran.
//
// A call goes out once, on a connection of its own. Its outcome is NOT_RUN only
// where no connection was made, so that no byte of it left this process, or
// where the service itself answered that it refused the call before running it.
package serviceclient
