// Package networker gives services their connections.
//
// Services never call net.Dial or net.Listen themselves: they take a Network,
// so that a test can hand them an in-memory one that runs in virtual time.
package networker
