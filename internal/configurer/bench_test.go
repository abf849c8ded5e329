package configurer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// organisationsPatch returns a merge patch that creates n organisations and as
// many groups.
func organisationsPatch(n int) json.RawMessage {
	o, g := make(map[string]any), make(map[string]any)
	for i := range n {
		name := fmt.Sprintf("organisation-%04d", i)
		o[name] = map[string]any{"keys_sha256": []string{fmt.Sprintf("%064d", i)}}
		g[fmt.Sprintf("group-%04d", i)] = map[string]any{
			"model": "form-assistant", "version": "v1", "data_centre": "qld-bne", "replicas": 2, "members": 8, "organisations": []string{name},
		}
	}
	text, _ := json.Marshal(map[string]any{"organisations": o, "groups": g})
	return text
}

// BenchmarkPatch measures, by the number of organisations and groups, the cost of
// a patch in the process that accepts it, and the cost of ApplyRecord in a process
// that receives the resulting record.
// Command: go test ./internal/configurer -run '^$' -bench Patch
func BenchmarkPatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		s := &memoryStore{objects: make(map[string]storer.Object)}
		c := configurer.New(s, nil, logger.Logger{})
		_, err := c.Patch(context.Background(), configurer.Patch{ID: "first", Author: "a", Reason: "r", Merge: organisationsPatch(n)})
		require.NoError(b, err)
		b.Run(fmt.Sprintf("patch/%d", n), func(b *testing.B) {
			for b.Loop() {
				number := c.Current().Number()
				merge := fmt.Sprintf(`{"policy":{"max_queue":%d}}`, number+1)
				id := fmt.Sprintf("%d-%d", n, number)
				_, err := c.Patch(context.Background(), configurer.Patch{ID: id, Base: number, Author: "a", Reason: "r", Merge: []byte(merge)})
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(c.Current().Record().GetDocument())), "document-bytes")
		})
		b.Run(fmt.Sprintf("apply-record/%d", n), func(b *testing.B) {
			for b.Loop() {
				if !configurer.New(s, nil, logger.Logger{}).ApplyRecord(c.Current().Record(), "bench") {
					b.Fatal("the record was not put in force")
				}
			}
		})
	}
}
