package transporter

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"time"
)

const (
	// _protocol is the ALPN name of the peer protocol.
	_protocol = "lycheebarrow/1"
	// _keyInfo is the HKDF info that ties the derived key to its use.
	_keyInfo = "lycheebarrow peer key 1"
)

// ErrWrongSecret says that the peer has another secret, or presents no Ed25519 key.
var ErrWrongSecret = errors.New("peer has another secret")

// deriveTLSConfig derives the TLS settings for connections in both directions from the
// secret.
func deriveTLSConfig(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, _keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("transporter: derive the peer key: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	// The certificate is valid at any time: the clocks of instances may differ, and only the
	// key is verified.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("transporter: create the peer certificate: %w", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{_protocol},
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// The standard verification requires a host name and a certificate authority.
		// VerifyConnection replaces it: it requires the same key.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeerKey(s, key.Public().(ed25519.PublicKey)) },
	}, nil
}

// verifyPeerKey returns ErrWrongSecret unless the peer presented the given key.
func verifyPeerKey(s tls.ConnectionState, key ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return ErrWrongSecret
	}
	peerKey, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(peerKey, key) {
		return ErrWrongSecret
	}
	return nil
}
