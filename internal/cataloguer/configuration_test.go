package cataloguer_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// A key that several organisations have belongs to the first of them by name,
// whatever their order in the configuration.
func TestSharedKeyBelongsToFirstOrganisation(t *testing.T) {
	a := cataloguer.Organisation{Name: "a", Keys: []string{"k"}}
	b := cataloguer.Organisation{Name: "b", Keys: []string{"k", "only-b"}}
	for _, list := range [][]cataloguer.Organisation{{a, b}, {b, a}} {
		c := cataloguer.Configuration{Organisations: list}
		c.Index()
		o, ok := c.Authenticate(&cataloguer.Route{}, "k")
		assert.True(t, ok)
		assert.Equal(t, "a", o.Name)
		o, ok = c.Authenticate(&cataloguer.Route{}, "only-b")
		assert.True(t, ok)
		assert.Equal(t, "b", o.Name)
		assert.Equal(t, []cataloguer.SharedKey{{Owner: "a", Other: "b"}}, c.SharedKeys())
	}
}
