package relayer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
)

// A shutdown settles neither requests whose upstream is sending, before its last look, nor
// those whose response has begun, and each request once.
func TestShutdownSettlesOnlyWaitingRequests(t *testing.T) {
	start := time.Unix(0, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	testCases := []struct {
		name     string
		progress func(p *relayer.Progress)
		// all is true at the last look.
		all  bool
		want int
	}{
		{name: "nothing sent", want: 1},
		{name: "silent upstream", progress: func(p *relayer.Progress) { p.RecordSend("u", start) }, want: 1},
		{name: "sent just now", progress: func(p *relayer.Progress) { p.RecordSend("u", after(900*time.Millisecond)) }, want: 0},
		{name: "sent just now, last look", progress: func(p *relayer.Progress) { p.RecordSend("u", after(900*time.Millisecond)) }, all: true, want: 1},
		{name: "head just now", progress: func(p *relayer.Progress) {
			p.RecordSend("u", start)
			p.RecordHead(after(900 * time.Millisecond))
		}, want: 0},
		{name: "nothing since the head", progress: func(p *relayer.Progress) {
			p.RecordSend("u", start)
			p.RecordHead(after(700 * time.Millisecond))
		}, want: 1},
		{name: "response has begun", progress: func(p *relayer.Progress) { p.Begin() }, all: true, want: 0},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			interrupts := 0
			p := relayer.NewProgress(func() { interrupts++ })
			if tc.progress != nil {
				tc.progress(p)
			}
			p.Settle(after(time.Second), tc.all)
			p.Settle(after(time.Second), tc.all)
			assert.Equal(t, tc.want, interrupts)
			if tc.want == 0 {
				assert.True(t, p.Begin())
				return
			}
			assert.False(t, p.Begin(), "a settled request must not begin a stream")
		})
	}
}
