package comparer

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

var (
	_escaper   = strings.NewReplacer("~", "~0", "/", "~1")
	_unescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// ValueChange is one value that differs between two documents. Before and After are
// JSON text, empty where the value is absent.
type ValueChange struct {
	Path   string `json:"path"` // JSON pointer, RFC 6901
	Before string `json:"before"`
	After  string `json:"after"`
}

// Compare returns the values that differ between two JSON documents, in the
// order of their paths.
func Compare(before, after []byte) ([]ValueChange, error) {
	var a, b any
	if err := json.Unmarshal(before, &a); err != nil {
		return nil, fmt.Errorf("comparer: read the first document: %w", err)
	}
	if err := json.Unmarshal(after, &b); err != nil {
		return nil, fmt.Errorf("comparer: read the second document: %w", err)
	}
	var out []ValueChange
	walk("", a, b, &out)
	return out, nil
}

func walk(path string, a, b any, out *[]ValueChange) {
	if reflect.DeepEqual(a, b) {
		return
	}
	x, aIsObject := a.(map[string]any)
	y, bIsObject := b.(map[string]any)
	if !aIsObject || !bIsObject {
		*out = append(*out, ValueChange{Path: path, Before: text(a), After: text(b)})
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

// Undo returns the document as it was before the changed values.
func Undo(document []byte, values []ValueChange) ([]byte, error) {
	var root any
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, fmt.Errorf("comparer: read the document: %w", err)
	}
	for _, v := range values {
		var before any
		if v.Before != "" {
			if err := json.Unmarshal([]byte(v.Before), &before); err != nil {
				return nil, fmt.Errorf("comparer: read the value before at %s: %w", v.Path, err)
			}
		}
		var err error
		if root, err = set(root, v.Path, before); err != nil {
			return nil, err
		}
	}
	return json.Marshal(root)
}

// set puts a value at a path; nil removes what is there.
func set(root any, path string, value any) (any, error) {
	if path == "" {
		return value, nil
	}
	steps := strings.Split(path, "/")[1:]
	parent, ok := root.(map[string]any)
	for _, s := range steps[:len(steps)-1] {
		if ok {
			parent, ok = parent[_unescaper.Replace(s)].(map[string]any)
		}
	}
	if !ok {
		return nil, fmt.Errorf("comparer: the document has no object around %s", path)
	}
	last := _unescaper.Replace(steps[len(steps)-1])
	if value == nil {
		delete(parent, last)
	} else {
		parent[last] = value
	}
	return root, nil
}
