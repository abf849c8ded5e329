package eventparser_test

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/eventparser"
)

// parse returns the ids and bytes of the events of a stream that arrives in pieces of the given
// size, and what ends it: "complete", "open" within an event, or "broken".
func parse(p *eventparser.Parser, stream string, size int) (ids []string, passed, ending string) {
	for start := 0; start < len(stream); start += size {
		p.Add([]byte(stream[start:min(start+size, len(stream))]))
		e, ok, err := p.Next()
		for ; ok; e, ok, err = p.Next() {
			ids = append(ids, strconv.FormatUint(e.ID, 10))
			passed += string(e.Raw)
		}
		if err != nil {
			return ids, passed, "broken"
		}
	}
	rest, ok := p.End()
	if !ok {
		return ids, passed, "open"
	}
	return ids, passed + string(rest), "complete"
}

// TestStreams plays testdata/streams.txt: bytes that are no event must not be passed on among
// the events of a stream.
func TestStreams(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(strings.TrimSpace(line), " | ")
		require.Len(t, columns, 5, line)
		name, last, want, ending := columns[0], columns[1], columns[3], columns[4]
		stream, err := strconv.Unquote(`"` + columns[2] + `"`)
		require.NoError(t, err, name)
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(stream); size++ {
				p := eventparser.Parser{IsExtension: func(name string) bool { return name == "weights" }}
				p.Last, err = strconv.ParseUint(last, 10, 64)
				require.NoError(t, err)
				ids, passed, got := parse(&p, stream, size)
				assert.Equal(t, strings.TrimPrefix(want, "none"), strings.Join(ids, " "))
				assert.Equal(t, ending, got)
				if ending == "complete" {
					assert.Equal(t, stream, passed)
				}
			}
		})
	}
}

// An event without end is given up once it is over its limit, whether its lines end or not.
func TestEventWithoutEnd(t *testing.T) {
	for _, piece := range []string{"x", ":\n", "data: x\n"} {
		var p eventparser.Parser
		err := error(nil)
		for n := 0; err == nil && n <= eventparser.MaxEventBytes; n++ {
			p.Add([]byte(piece))
			_, _, err = p.Next()
		}
		assert.ErrorIs(t, err, eventparser.ErrNotEvent, "%q", piece)
	}
}

// An event without end costs little memory until it is given up: all streams may have one at once.
func TestEventWithoutEndCostsLittle(t *testing.T) {
	const most = 128 << 10 // bytes, eight times the limit of an event
	for _, text := range []string{"x", ":\n", "data: x\n"} {
		piece := []byte(strings.Repeat(text, 4096/len(text)))
		var start, end runtime.MemStats
		runtime.ReadMemStats(&start)
		var p eventparser.Parser
		err := error(nil)
		for err == nil {
			p.Add(piece)
			_, _, err = p.Next()
		}
		runtime.ReadMemStats(&end)
		assert.Less(t, end.TotalAlloc-start.TotalAlloc, uint64(most), "%q", text)
	}
}

// FuzzParser checks that all bytes passed on are events with consecutive ids.
func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), 3)
	f.Add([]byte("id: 1\ndata: x\n\nno event\n\n"), 5)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		var p eventparser.Parser
		ids, passed, _ := parse(&p, string(stream), min(max(size, 1), 100))
		for n, id := range ids {
			assert.Equal(t, strconv.Itoa(n+1), id)
		}
		for line := range bytes.Lines([]byte(passed)) {
			line = bytes.TrimRight(line, "\r\n")
			assert.True(t, len(line) == 0 || bytes.IndexByte(line, ':') >= 0, "%q", line)
		}
	})
}
