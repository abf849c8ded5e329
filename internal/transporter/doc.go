// Package transporter carries messages between processes over QUIC.
//
// Each exchange is one stream: the message there, the answer back. Both sides
// show the one Ed25519 key that every process derives from the shared secret,
// and refuse a peer with another key, so a process without the secret learns
// nothing and a process that keeps nothing needs no key files.
package transporter
