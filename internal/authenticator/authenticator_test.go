package authenticator_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// A key that several organisations have belongs to the first of them by name, at
// every request.
func TestSharedKeyBelongsToFirstOrganisation(t *testing.T) {
	key := []string{authenticator.Digest("k")}
	d := validator.Document{Organisations: map[string]validator.Organisation{
		"c": {KeysSHA256: key}, "a": {KeysSHA256: key}, "b": {KeysSHA256: key}, "other": {KeysSHA256: []string{authenticator.Digest("x")}},
	}}
	r := httptest.NewRequest("GET", "/", nil)
	r.Header.Set("Authorization", "Bearer k")
	for range 100 {
		name, ok := authenticator.Organisation(r, d)
		assert.True(t, ok)
		assert.Equal(t, "a", name)
	}
}
