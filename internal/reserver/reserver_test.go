package reserver_test

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
)

// TestScripts runs the scripts in testdata. # begins a comment; each line is a command, with
// sizes in KiB:
//
//	limit SIZE              set the memory of all bodies
//	open ID OWNER           begin a body
//	grow ID SIZE RESULT     raise its memory; expect ok, full or revoked
//	progress ID RESULT      bytes arrive; expect ok or revoked
//	complete ID RESULT      all of it has arrived; expect ok or revoked
//	close ID                end it
//	pass DURATION           let time pass
//	used SIZE               expect the memory that is granted
//	stalled N               expect the bodies that have lost their memory
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	require.NoError(t, err)
	defer f.Close()
	r, now := &reserver.Reserver{}, time.Unix(1_800_000_000, 0)
	bodies, revoked := make(map[string]*reserver.Reservation), make(map[string]bool)
	result := func(err error) string {
		return map[error]string{nil: "ok", reserver.ErrFull: "full", reserver.ErrRevoked: "revoked"}[err]
	}
	size := func(text string) int64 {
		n, err := strconv.ParseInt(text, 10, 64)
		require.NoError(t, err)
		return n << 10
	}
	n := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		n++
		line, _, _ := strings.Cut(s.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "limit":
			r.Limit = size(words[1])
		case "open":
			bodies[words[1]] = r.Open(words[2], func() { revoked[words[1]] = true }, now)
		case "grow":
			assert.Equal(t, words[3], result(bodies[words[1]].Grow(size(words[2]), now)), "line %d", n)
		case "progress":
			assert.Equal(t, words[2], result(bodies[words[1]].Progress(now)), "line %d", n)
			assert.Equal(t, words[2] == "revoked", revoked[words[1]], "line %d", n)
		case "complete":
			assert.Equal(t, words[2], result(bodies[words[1]].Complete()), "line %d", n)
		case "close":
			bodies[words[1]].Close()
		case "pass":
			d, err := time.ParseDuration(words[1])
			require.NoError(t, err)
			now = now.Add(d)
		case "used":
			assert.Equal(t, size(words[1]), r.Used(), "line %d", n)
		case "stalled":
			assert.Equal(t, size(words[1])>>10, r.Revoked(), "line %d", n)
		default:
			t.Fatalf("line %d: unknown command %s", n, words[0])
		}
	}
}

// A body is read whole, however it arrives and whether its size is announced or not. It then
// holds at most twice its size, and nothing after Close.
func TestRead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, size := range []int{0, 1, 100, 4 << 10, 4<<10 + 1, 64 << 10, 64<<10 + 1, 300_000, 1 << 20} {
		for _, announced := range []bool{false, true} {
			want := make([]byte, size)
			for i := range want {
				want[i] = byte(random.Uint32())
			}
			length := int64(-1)
			if announced {
				length = int64(size)
			}
			for name, reader := range map[string]io.Reader{
				"whole": bytes.NewReader(want), "halves": iotest.HalfReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want)),
				"bytes": iotest.OneByteReader(bytes.NewReader(want)),
			} {
				r := &reserver.Reserver{Limit: 4 << 20}
				x := r.Open("o", func() {}, time.Now())
				got, err := x.Read(reader, length)
				require.NoError(t, err, "%d bytes, %s", size, name)
				assert.True(t, bytes.Equal(want, got), "%d bytes, %s", size, name)
				assert.LessOrEqual(t, r.Used(), int64(max(2*size, 4<<10)), "%d bytes, %s", size, name)
				x.Close()
				assert.Zero(t, r.Used())
			}
		}
	}
}

// A body that breaks off, or for which there is no memory, is no body.
func TestReadFails(t *testing.T) {
	r := &reserver.Reserver{Limit: 100 << 10}
	x := r.Open("o", func() {}, time.Now())
	_, err := x.Read(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	x.Close()
	x = r.Open("o", func() {}, time.Now())
	_, err = x.Read(bytes.NewReader(make([]byte, 1<<20)), -1)
	require.ErrorIs(t, err, reserver.ErrFull)
	x.Close()
	assert.Zero(t, r.Used())
}
