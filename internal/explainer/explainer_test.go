package explainer_test

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/explainer"
	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
)

var _update = flag.Bool("update", false, "rewrite the golden file")

func TestExplainMatchesGoldenFile(t *testing.T) {
	const path = "testdata/events.txtar"
	archive, err := txtar.ParseFile(path)
	require.NoError(t, err)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		input, want := archive.Files[i], &archive.Files[i+1]
		t.Run(input.Name, func(t *testing.T) {
			var events []journaler.Event
			for line := range strings.Lines(string(input.Data)) {
				var e journaler.Event
				require.NoError(t, json.Unmarshal([]byte(line), &e))
				events = append(events, e)
			}
			got := strings.Join(explainer.Explain(events), "\n") + "\n"
			if *_update {
				want.Data = []byte(got)
				return
			}
			assert.Equal(t, string(want.Data), got)
		})
	}
	if *_update {
		require.NoError(t, os.WriteFile(path, txtar.Format(archive), 0o644))
	}
}
