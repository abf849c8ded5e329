// Package transporter carries messages between processes over QUIC.
//
// Each exchange uses one QUIC stream: one process sends a message, and the other sends its
// answer back. Both sides present the same Ed25519 key, which every process derives from
// the shared secret, and refuse a peer with another key. So a process without the secret
// learns nothing, and a process without storage needs no key files.
package transporter
