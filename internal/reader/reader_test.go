package reader_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
)

var errNoAnswer = errors.New("no answer")

// countReads runs a process for an hour and returns the number of its reads and its
// log. Other processes read once per peerInterval, or never if that is 0.
func countReads(designated bool, peerInterval time.Duration, answer func() error) (count int, log string) {
	var out bytes.Buffer
	s := &reader.Schedule{Designated: func() bool { return designated }, Outage: &reader.OutageLogger{Log: logger.New(&out, "n1")}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if peerInterval > 0 {
		go func() {
			for ctx.Err() == nil {
				s.ObserveRead(time.Now())
				s.Sleep(ctx, peerInterval)
			}
		}()
	}
	for s.WaitUntilDue(ctx) == nil {
		count++
		sentAt := time.Now()
		if err := answer(); err != nil {
			s.BackOff(ctx, err)
			continue
		}
		s.RecordSuccess(sentAt)
		s.Sleep(ctx, time.Second)
	}
	synctest.Wait()
	return count, out.String()
}

func TestScheduleReadRate(t *testing.T) {
	testCases := []struct {
		name         string
		designated   bool
		peerInterval time.Duration
		least, most  int
	}{
		{name: "designated reader", designated: true, least: 3500, most: 3601},
		{name: "peers read", peerInterval: time.Second, least: 15, most: 31},
		{name: "no peer reads", least: 600, most: 810},
		{name: "peers read too seldom", peerInterval: 20 * time.Second, least: 400, most: 810},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _ := countReads(tc.designated, tc.peerInterval, func() error { return nil })
				require.GreaterOrEqual(t, n, tc.least)
				require.LessOrEqual(t, n, tc.most)
			})
		})
	}
}

// An outage logs one line at its start and one at its end, however long it lasts.
// Failures for less than the outage threshold log nothing.
func TestOutageLogsOneLineAtEachEnd(t *testing.T) {
	testCases := []struct {
		name       string
		from, to   time.Duration
		away, back int
	}{
		{name: "no outage"},
		{name: "failures for two seconds", from: time.Minute, to: time.Minute + 2*time.Second},
		{name: "outage of half an hour", from: time.Minute, to: 31 * time.Minute, away: 1, back: 1},
		{name: "outage that does not end", from: time.Minute, to: 2 * time.Hour, away: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, log := countReads(true, 0, func() error {
					if d := time.Since(start); d >= tc.from && d < tc.to {
						return errNoAnswer
					}
					return nil
				})
				require.Equal(t, tc.away, strings.Count(log, "event=platform-away"), log)
				require.Equal(t, tc.back, strings.Count(log, "event=platform-back"), log)
				require.Equal(t, tc.away+tc.back, strings.Count(log, "\n"), log)
			})
		})
	}
}
