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
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
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
//	progress ID RESULT      1 KiB arrives; expect ok or revoked
//	bytes ID SIZE RESULT    as many KiB arrive; expect ok or revoked
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
			assert.Equal(t, words[2], result(bodies[words[1]].Progress(1<<10, now)), "line %d", n)
			assert.Equal(t, words[2] == "revoked", revoked[words[1]], "line %d", n)
		case "bytes":
			assert.Equal(t, words[3], result(bodies[words[1]].Progress(int(size(words[2])), now)), "line %d", n)
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

func noWait() bool { return false }

// A body is read in pieces that take little more than its size.
func TestReadPieces(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 300_000, 8 << 20} {
		want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		r := &reserver.Reserver{Limit: 20 << 20}
		x := r.Open("o", func() {}, time.Now())
		pieces, err := x.ReadPieces(iotest.HalfReader(bytes.NewReader(want)), 8<<20, noWait)
		require.NoError(t, err, "%d bytes", size)
		assert.True(t, bytes.Equal(want, bytes.Join(pieces, nil)), "%d bytes", size)
		assert.LessOrEqual(t, r.Used(), int64(min(3*size+4<<10, size+256<<10)), "%d bytes", size)
		x.Close()
		assert.Zero(t, r.Used())
	}
	r := &reserver.Reserver{}
	_, err := r.Open("o", func() {}, time.Now()).ReadPieces(strings.NewReader("abc"), 2, noWait)
	require.ErrorIs(t, err, reserver.ErrTooLarge)
}

// Guards against a response that is lost because there is no memory for a moment.
func TestReadPiecesWaits(t *testing.T) {
	r, waits := &reserver.Reserver{Limit: 1 << 20}, 0
	other := r.Open("p", func() {}, time.Now())
	require.NoError(t, other.Grow(500<<10, time.Now()))
	pieces, err := r.Open("o", func() {}, time.Now()).ReadPieces(bytes.NewReader(make([]byte, 400<<10)), 1<<20, func() bool {
		if waits++; waits == 3 {
			other.Close()
		}
		return true
	})
	require.NoError(t, err)
	assert.Len(t, bytes.Join(pieces, nil), 400<<10)
	assert.Equal(t, 3, waits)
}

// Guards against two bodies that wait for memory, of which one takes that of the other as if it
// had been slow.
func TestWaitingIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reserver.Reserver{Limit: 1 << 20}
		others := []*reserver.Reservation{r.Open("p", func() {}, time.Now()), r.Open("q", func() {}, time.Now())}
		for _, x := range others {
			require.NoError(t, x.Grow(380<<10, time.Now()))
			require.NoError(t, x.Complete())
		}
		var reading sync.WaitGroup
		for _, owner := range []string{"a", "b"} {
			reading.Go(func() {
				x := r.Open(owner, func() {}, time.Now())
				defer x.Close()
				_, err := x.ReadPieces(bytes.NewReader(make([]byte, 400<<10)), 1<<20, func() bool {
					time.Sleep(20 * time.Millisecond)
					return true
				})
				assert.NoError(t, err)
			})
		}
		time.Sleep(3 * time.Second)
		for _, x := range others {
			x.Close()
		}
		reading.Wait()
		assert.Zero(t, r.Revoked())
	})
}

// Guards against bodies that were read whole and that nobody takes holding all memory.
func TestUntakenPiecesAreRevoked(t *testing.T) {
	r, revoked := &reserver.Reserver{Limit: 20 << 20}, false
	x := r.Open("o", func() { revoked = true }, time.Now())
	_, err := x.ReadPieces(bytes.NewReader(make([]byte, 8<<20)), 8<<20, noWait)
	require.NoError(t, err)
	other, later := r.Open("p", func() {}, time.Now()), time.Now().Add(time.Second)
	require.NoError(t, x.Progress(1, later))
	require.ErrorIs(t, other.Grow(9<<20, later), reserver.ErrFull, "a body that is taken keeps its memory")
	later = later.Add(time.Second)
	require.NoError(t, other.Grow(9<<20, later))
	assert.True(t, revoked)
	require.ErrorIs(t, x.Progress(1, later), reserver.ErrRevoked)
}

// A large body takes its window until it is complete.
func TestWindow(t *testing.T) {
	const window = 100 << 10
	for _, size := range []int{64 << 10, 200 << 10} {
		r, widened, peak := &reserver.Reserver{Limit: 4 << 20}, 0, int64(0)
		x := r.Open("o", func() {}, time.Now())
		x.Widen(window, func() { widened++ })
		body := iotest.OneByteReader(bytes.NewReader(make([]byte, size)))
		_, err := x.Read(readerFunc(func(p []byte) (int, error) {
			peak = max(peak, r.Used())
			return body.Read(p)
		}), int64(size))
		require.NoError(t, err)
		assert.Equal(t, size > 64<<10, widened == 1, "%d bytes", size)
		assert.Equal(t, size > 64<<10, peak >= int64(size+window), "%d bytes", size)
		assert.LessOrEqual(t, r.Used(), int64(size), "%d bytes", size)
		x.Close()
		assert.Zero(t, r.Used())
	}
}

type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
