package comparer

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// JSON pointers write "~" in a key as "~0" and "/" as "~1" (RFC 6901).
var (
	_escaper   = strings.NewReplacer("~", "~0", "/", "~1")
	_unescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// ValueChange is one value that differs between two documents. Before and After are
// JSON text, empty if the value is absent.
type ValueChange struct {
	Path   string `json:"path"` // JSON pointer, RFC 6901
	Before string `json:"before"`
	After  string `json:"after"`
}

// Compare returns the values that differ between two JSON documents. It compares the
// members of an object one by one, in the order of their keys; any other value, such
// as an array, it compares as a whole. A null counts as absent.
func Compare(before, after []byte) ([]ValueChange, error) {
	var a, b any
	if err := json.Unmarshal(before, &a); err != nil {
		return nil, fmt.Errorf("comparer: read the first document: %w", err)
	}
	if err := json.Unmarshal(after, &b); err != nil {
		return nil, fmt.Errorf("comparer: read the second document: %w", err)
	}
	var out []ValueChange
	appendChanges("", a, b, &out)
	return out, nil
}

// appendChanges appends the changes from before to after to out. Path is the JSON
// pointer of the two values; nil stands for an absent value.
func appendChanges(path string, before, after any, out *[]ValueChange) {
	if reflect.DeepEqual(before, after) {
		return
	}
	oldMembers, beforeIsObject := before.(map[string]any)
	newMembers, afterIsObject := after.(map[string]any)
	if !beforeIsObject || !afterIsObject {
		*out = append(*out, ValueChange{Path: path, Before: jsonText(before), After: jsonText(after)})
		return
	}
	keys := make(map[string]bool)
	for k := range oldMembers {
		keys[k] = true
	}
	for k := range newMembers {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		appendChanges(path+"/"+_escaper.Replace(k), oldMembers[k], newMembers[k], out)
	}
}

// jsonText returns a value as JSON text, empty for nil.
func jsonText(value any) string {
	if value == nil {
		return ""
	}
	t, _ := json.Marshal(value)
	return string(t)
}

// Undo returns the document as it was before the changes in values, which Compare
// returned. It returns an error if an object that holds a changed value is missing.
func Undo(document []byte, values []ValueChange) ([]byte, error) {
	var root any
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, fmt.Errorf("comparer: read the document: %w", err)
	}
	for _, v := range values {
		var before any
		if v.Before != "" {
			if err := json.Unmarshal([]byte(v.Before), &before); err != nil {
				return nil, fmt.Errorf("comparer: read the earlier value of %s: %w", v.Path, err)
			}
		}
		var err error
		if root, err = setAt(root, v.Path, before); err != nil {
			return nil, err
		}
	}
	return json.Marshal(root)
}

// setAt sets the value at a JSON pointer, or removes it if value is nil, and returns
// the new root. It modifies the objects of root.
func setAt(root any, path string, value any) (any, error) {
	if path == "" {
		return value, nil
	}
	keys := strings.Split(path, "/")[1:]
	parent, ok := root.(map[string]any)
	for _, k := range keys[:len(keys)-1] {
		if ok {
			parent, ok = parent[_unescaper.Replace(k)].(map[string]any)
		}
	}
	if !ok {
		return nil, fmt.Errorf("comparer: the document has no object around %s", path)
	}
	last := _unescaper.Replace(keys[len(keys)-1])
	if value == nil {
		delete(parent, last)
	} else {
		parent[last] = value
	}
	return root, nil
}
