package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var _escaper = strings.NewReplacer("~", "~0", "/", "~1")

// compare returns the values that differ between two JSON documents, in the
// order of their paths.
func compare(before, after []byte) ([]*wire.ValueChange, error) {
	var a, b any
	if err := json.Unmarshal(before, &a); err != nil {
		return nil, fmt.Errorf("configurer: compare: %w", err)
	}
	if err := json.Unmarshal(after, &b); err != nil {
		return nil, fmt.Errorf("configurer: compare: %w", err)
	}
	var out []*wire.ValueChange
	walk("", a, b, &out)
	return out, nil
}

func walk(path string, a, b any, out *[]*wire.ValueChange) {
	if reflect.DeepEqual(a, b) {
		return
	}
	x, aIsObject := a.(map[string]any)
	y, bIsObject := b.(map[string]any)
	if !aIsObject || !bIsObject {
		*out = append(*out, &wire.ValueChange{Path: path, Before: text(a), After: text(b)})
		return
	}
	keys := make(map[string]bool)
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		walk(path+"/"+_escaper.Replace(k), x[k], y[k], out)
	}
}

func text(value any) string {
	if value == nil {
		return ""
	}
	t, _ := json.Marshal(value)
	return string(t)
}
