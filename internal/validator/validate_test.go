package validator_test

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// TestParse checks the faults and errors of the documents in
// testdata/documents.txtar.
func TestParse(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/documents.txtar")
	require.NoError(t, err)
	files := make(map[string]string)
	for _, f := range archive.Files {
		files[f.Name] = string(f.Data)
	}
	for name, document := range files {
		test, ok := strings.CutSuffix(name, ".json")
		if !ok {
			continue
		}
		t.Run(test, func(t *testing.T) {
			got := ""
			if _, err := validator.Parse([]byte(document)); err != nil {
				got = strings.TrimPrefix(err.Error(), "validator: the configuration has faults:\n") + "\n"
			}
			assert.Equal(t, files[test+".want"], got)
		})
	}
}
