package cataloguer_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

func TestModelsWithoutGroup(t *testing.T) {
	var c cataloguer.Catalogue
	assert.Zero(t, c.ModelsWithoutGroup())
	engine := &cataloguer.Engine{Models: []cataloguer.Model{{Name: "large"}, {Name: "small"}}}
	c.SetConfiguration(&cataloguer.Configuration{Version: 1, Services: map[string]cataloguer.Service{
		"engines": {Name: "engines", Engine: engine}, "plain": {Name: "plain"},
	}})
	head := cataloguer.Upstream{ID: "a", Service: "engines", Group: cataloguer.Membership{Name: "g", State: cataloguer.MemberOpen, Model: "small"}}
	c.SetFleet(cataloguer.NewFleet(1, map[string]cataloguer.Upstream{"a": head}))
	assert.Equal(t, int64(1), c.ModelsWithoutGroup())
}
