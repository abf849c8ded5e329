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

var errAway = errors.New("no answer")

// reads counts the reads of a process in an hour; peers read every interval, or
// never where it is 0.
func reads(duty bool, peers time.Duration, answer func() error) (count int, log string) {
	var out bytes.Buffer
	t := &reader.Schedule{Designated: func() bool { return duty }, Outage: &reader.OutageLogger{Log: logger.New(&out, "n1")}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if peers > 0 {
		go func() {
			for ctx.Err() == nil {
				t.ObserveRead(time.Now())
				t.Sleep(ctx, peers)
			}
		}()
	}
	for t.WaitUntilDue(ctx) == nil {
		count++
		sent := time.Now()
		if err := answer(); err != nil {
			t.BackOff(ctx, err)
			continue
		}
		t.RecordSuccess(sent)
		t.Sleep(ctx, time.Second)
	}
	synctest.Wait()
	return count, out.String()
}

func TestTurn(t *testing.T) {
	testCases := []struct {
		name        string
		duty        bool
		peers       time.Duration
		least, most int
	}{
		{name: "on duty", duty: true, least: 3500, most: 3601},
		{name: "peers read", peers: time.Second, least: 15, most: 31},
		{name: "no peer reads", least: 600, most: 810},
		{name: "peers read too seldom", peers: 20 * time.Second, least: 400, most: 810},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _ := reads(tc.duty, tc.peers, func() error { return nil })
				require.GreaterOrEqual(t, n, tc.least)
				require.LessOrEqual(t, n, tc.most)
			})
		})
	}
}

// An outage of an hour is two log lines, and short failures are none.
func TestOutage(t *testing.T) {
	testCases := []struct {
		name       string
		from, to   time.Duration
		away, back int
	}{
		{name: "none"},
		{name: "two seconds", from: time.Minute, to: time.Minute + 2*time.Second},
		{name: "half an hour", from: time.Minute, to: 31 * time.Minute, away: 1, back: 1},
		{name: "to the end", from: time.Minute, to: 2 * time.Hour, away: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, log := reads(true, 0, func() error {
					if d := time.Since(start); d >= tc.from && d < tc.to {
						return errAway
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
