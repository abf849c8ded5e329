package comparer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/comparer"
)

// TestCompare compares the documents in testdata, and undoes the changes.
func TestCompare(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/documents.txtar")
	require.NoError(t, err)
	files := make(map[string]string)
	for _, f := range archive.Files {
		files[f.Name] = strings.TrimSpace(string(f.Data))
	}
	for _, name := range []string{"equal", "nested", "escaped", "replaced"} {
		t.Run(name, func(t *testing.T) {
			values, err := comparer.Compare([]byte(files[name+".before"]), []byte(files[name+".after"]))
			require.NoError(t, err)
			var lines []string
			for _, v := range values {
				lines = append(lines, fmt.Sprintf("%s: %s -> %s", v.Path, v.Before, v.After))
			}
			assert.Equal(t, files[name+".want"], strings.Join(lines, "\n"))
			before, err := comparer.Undo([]byte(files[name+".after"]), values)
			require.NoError(t, err)
			assert.JSONEq(t, files[name+".before"], string(before))
		})
	}
}

// TestUndoIsInverse checks with random documents that undoing the changes that
// Compare returns gives the document before them.
func TestUndoIsInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawObject(t, "before", 3)
		after := drawObject(t, "after", 3)
		a, err := json.Marshal(before)
		require.NoError(t, err)
		b, err := json.Marshal(after)
		require.NoError(t, err)
		values, err := comparer.Compare(a, b)
		require.NoError(t, err)
		undone, err := comparer.Undo(b, values)
		require.NoError(t, err)
		assert.JSONEq(t, string(a), string(undone))
	})
}

// drawObject returns a random object with up to depth levels of objects in it. Some
// of its keys need escaping in a JSON pointer.
func drawObject(t *rapid.T, label string, depth int) map[string]any {
	out := make(map[string]any)
	for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b/c", "~d", ""}), 0, 4, rapid.ID[string]).Draw(t, label+" keys") {
		if depth > 0 && rapid.Bool().Draw(t, label+" nested") {
			out[k] = drawObject(t, label, depth-1)
		} else {
			out[k] = rapid.IntRange(0, 2).Draw(t, label+" value")
		}
	}
	return out
}

// TestUndoRefusesOtherDocument checks that Undo returns an error for changes that
// belong to another document.
func TestUndoRefusesOtherDocument(t *testing.T) {
	_, err := comparer.Undo([]byte(`{"a":1}`), []comparer.ValueChange{{Path: "/a/b", Before: "1"}})
	assert.ErrorContains(t, err, "no object around /a/b")
}
