// Package networker defines the Network interface, through which the services
// open and accept connections.
//
// Services don't call net.Dial or net.Listen themselves: they are given a
// Network, so that a test can pass an in-memory Network that runs in virtual
// time.
package networker
