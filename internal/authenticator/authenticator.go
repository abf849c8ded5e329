package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// Digest returns the SHA-256 digest of a text, such as a key, in lower-case hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// BearerDigest returns the digest of the request's bearer token, or an empty string if the
// request carries none.
func BearerDigest(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	return Digest(token)
}

// Organisation returns the name of the organisation whose key the request carries, and false
// if the key belongs to none.
func Organisation(r *http.Request, d validator.Document) (string, bool) {
	digest := BearerDigest(r)
	if digest == "" {
		return "", false
	}
	for n, o := range d.Organisations {
		for _, k := range o.KeysSHA256 {
			if k == digest {
				return n, true
			}
		}
	}
	return "", false
}
