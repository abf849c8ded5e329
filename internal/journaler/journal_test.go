package journaler_test

import (
	"errors"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

func TestJournalRecordsEventsOfRequests(t *testing.T) {
	var j journaler.Journal
	j.Record("listen", logger.Fields{"address": "127.0.0.1:1"})
	j.Record("route", logger.Fields{"request": "r1", "candidates": 3, "error": nil})
	j.Record("route", logger.Fields{"request": "r2"})
	j.Record("attempt-broken", logger.Fields{"request": "r1", "error": errors.New("cut")})
	events := j.RequestEvents("r1")
	require.Len(t, events, 2)
	assert.Equal(t, "route", events[0].Name)
	assert.Equal(t, map[string]string{"request": "r1", "candidates": "3"}, events[0].Fields)
	assert.Equal(t, "cut", events[1].Fields["error"])
	assert.Empty(t, j.RequestEvents("r3"))
}

func TestJournalDropsOldestEvents(t *testing.T) {
	var j journaler.Journal
	testCases := []struct {
		events int
		oldest int // the lowest number of a request that is still kept
	}{
		{events: 1, oldest: 0},
		{events: journaler.Capacity, oldest: 0},
		{events: journaler.Capacity + 7, oldest: 7},
		{events: 3*journaler.Capacity + 1, oldest: 2*journaler.Capacity + 1},
	}
	recorded := 0
	for _, c := range testCases {
		for ; recorded < c.events; recorded++ {
			j.Record("route", logger.Fields{"request": strconv.Itoa(recorded)})
		}
		assert.Len(t, j.RequestEvents(strconv.Itoa(c.oldest)), 1)
		assert.Len(t, j.RequestEvents(strconv.Itoa(recorded-1)), 1)
		assert.Empty(t, j.RequestEvents(strconv.Itoa(c.oldest-1)))
	}
}

func TestJournalKeepsOrderAfterWrapping(t *testing.T) {
	var j journaler.Journal
	for range journaler.Capacity - 1 {
		j.Record("route", logger.Fields{"request": "other"})
	}
	j.Record("first", logger.Fields{"request": "r"})
	j.Record("second", logger.Fields{"request": "r"})
	events := j.RequestEvents("r")
	require.Len(t, events, 2)
	assert.Equal(t, "first", events[0].Name)
	assert.Equal(t, "second", events[1].Name)
}
