package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
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
// if the key belongs to none. A key that several organisations have belongs to the first of
// them by name, so that all processes choose the same one.
func Organisation(r *http.Request, d validator.Document) (string, bool) {
	digest := BearerDigest(r)
	if digest == "" {
		return "", false
	}
	owner, found := "", false
	for n, o := range d.Organisations {
		if slices.Contains(o.KeysSHA256, digest) && (!found || n < owner) {
			owner, found = n, true
		}
	}
	return owner, found
}
