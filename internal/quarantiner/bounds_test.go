package quarantiner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
)

// newParts returns parts that no other call returns.
func newParts(n int, used *int) []quarantiner.Part {
	var out []quarantiner.Part
	for range n {
		*used++
		out = append(out, quarantiner.NewPart("engines", fmt.Sprintf("new-%d", *used)))
	}
	return out
}

// crashUnder records a crash of an upstream of its own under prompts that wait there.
func crashUnder(q *quarantiner.Quarantiner, number int, now time.Time, prompts ...[]quarantiner.Part) {
	l := life(fmt.Sprintf("u%d", number))
	for _, parts := range prompts {
		q.RecordBroken(l, parts, now)
	}
	q.RecordRefused(l, now)
}

// crashesUntilQuarantine returns how many crashes under the part it takes until prompts with
// it are not sent. Each prompt has the given number of new parts besides.
func crashesUntilQuarantine(deadly quarantiner.Part, newPerPrompt, waiting, limit int) int {
	var q quarantiner.Quarantiner
	now, used := time.Unix(1_800_000_000, 0), 0
	for n := 1; n <= limit; n++ {
		prompts := [][]quarantiner.Part{append(newParts(newPerPrompt, &used), deadly)}
		for range waiting {
			prompts = append(prompts, newParts(newPerPrompt, &used))
		}
		crashUnder(&q, n, now, prompts...)
		now = now.Add(2 * time.Second)
		q.Receive(q.Share(now), now)
		if left, _ := q.QuarantinedFor([]quarantiner.Part{deadly}, now); left > 0 {
			return n
		}
	}
	return limit + 1
}

func TestPartIsFoundAmongManyNewOnes(t *testing.T) {
	testCases := []struct {
		newPerPrompt, waiting, limit int
	}{
		{newPerPrompt: 0, waiting: 0, limit: 3},
		{newPerPrompt: 40, waiting: 0, limit: 3},
		{newPerPrompt: 18, waiting: 12, limit: 3},
		{newPerPrompt: 1000, waiting: 0, limit: 40},
		{newPerPrompt: 100, waiting: 20, limit: 100},
	}
	deadly := parts([]string{"deadly"})[0]
	for _, tc := range testCases {
		assert.LessOrEqual(t, crashesUntilQuarantine(deadly, tc.newPerPrompt, tc.waiting, tc.limit), tc.limit, "%+v", tc)
	}
}

func TestPartIsFoundAmongManyBrokenResponses(t *testing.T) {
	var q quarantiner.Quarantiner
	now, deadly := time.Unix(1_800_000_000, 0), parts([]string{"deadly"})
	for n := range 4 {
		crashUnder(&q, n, now, deadly)
		for i := range 1000 {
			q.RecordBroken(life(fmt.Sprintf("broken-%d-%d", n, i)), parts([]string{"other"}), now)
		}
		now = now.Add(2 * time.Second)
	}
	q.Receive(q.Share(now), now)
	left, _ := q.QuarantinedFor(deadly, now)
	assert.Positive(t, left)
}

func TestManyPartsDisplaceNoClearance(t *testing.T) {
	var q quarantiner.Quarantiner
	now, used := time.Unix(1_800_000_000, 0), 0
	sound, deadly := parts([]string{"sound"}), parts([]string{"deadly"})
	prompt := append(deadly, sound...)
	crashUnder(&q, 1, now, prompt)
	q.RecordOutput(sound)
	for range 100 {
		q.RecordOutput(newParts(1000, &used))
	}
	for n := range 3 {
		crashUnder(&q, 2+n, now, prompt)
	}
	now = now.Add(2 * time.Second)
	q.Receive(q.Share(now), now)
	left, _ := q.QuarantinedFor(deadly, now)
	assert.Positive(t, left, "a sound part beside it must not make the combination narrower")
	left, _ = q.QuarantinedFor(sound, now)
	assert.Zero(t, left)
}

// Callers choose the parts of their prompts, and any number of crashes may come.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 16 << 20
	var q quarantiner.Quarantiner
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now, used := time.Unix(1_800_000_000, 0), 0
	for n := range 2000 {
		recurring := n / 4 // three crashes have the same new parts
		used = recurring * 400
		crashUnder(&q, n, now, newParts(400, &used))
		q.RecordOutput(newParts(100, &used))
		now = now.Add(100 * time.Millisecond)
		if n%20 == 0 {
			q.Receive(q.Share(now), now)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(limit))
	e := q.Share(now)
	assert.LessOrEqual(t, len(e.Crashes), 256)
	for _, c := range e.Crashes {
		assert.LessOrEqual(t, len(c.Suspects), 256)
	}
	assert.LessOrEqual(t, len(e.Quarantined), 1024)
	runtime.KeepAlive(&q)
}
