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
	_protocol   = "lycheebarrow/1"
	_keyPurpose = "lycheebarrow peer key 1"
)

// ErrWrongSecret says that the peer does not hold the shared secret.
var ErrWrongSecret = errors.New("peer has another secret")

// credentials derives the TLS settings of both directions from the secret.
func credentials(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, _keyPurpose, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("transporter: derive the peer key: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	// Clocks of instances may differ, and the key alone decides.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("transporter: make the peer certificate: %w", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{_protocol},
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// The usual check asks for a name and an authority; VerifyConnection asks
		// for the very key instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, key.Public().(ed25519.PublicKey)) },
	}, nil
}

func verify(s tls.ConnectionState, key ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return ErrWrongSecret
	}
	theirs, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(theirs, key) {
		return ErrWrongSecret
	}
	return nil
}
