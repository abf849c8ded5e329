package validator_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// FuzzParse checks that an accepted document, encoded and parsed again, is
// accepted and does not change.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"organisations":{"acme":{"weight":2,"keys_sha256":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}}}`))
	f.Add([]byte(`{"groups":{"forms":{"model":"m","version":"v1","data_centre":"d","replicas":2,"members":2}},"policy":{"max_queue":3}}`))
	f.Add([]byte(`{"services":{"s":{"upstreams":{"u":{"address":"[::1]:80","data_centre":"d"}}}}} `))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := validator.Parse(text)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(d)
		require.NoError(t, err)
		decoded, err := validator.Parse(encoded)
		require.NoError(t, err)
		// The texts are compared, not the documents: an empty list and an absent
		// one differ in memory but not in meaning.
		reencoded, err := json.Marshal(decoded)
		require.NoError(t, err)
		assert.JSONEq(t, string(encoded), string(reencoded))
	})
}
