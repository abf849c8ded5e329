package loganalyser_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/loganalyser"
)

const _log = `
 1.2 host time="2026-01-01T00:00:01Z" level=info event=request first_ms=100 late=no outcome=answered request=a route=r status=200 total_ms=900 sends=1
time="2026-01-01T00:00:02Z" level=info event=request first_ms=700 late=first outcome=answered request=b route=r sends=2 status=200 total_ms=900
time="2026-01-01T00:00:02Z" level=info event=request first_ms=70 late=gap outcome=answered request=c resumed=1 route=s sends=2 status=200 total_ms=900
time="2026-01-01T00:00:03Z" level=warning error="it said \"event=request \" twice" event=request outcome=crowded request=d route=s sends=0 status=503 total_ms=0
time="2026-01-01T00:00:03Z" level=info event=route request=d route=s
time="2026-01-01T00:00:03Z" level=info event=request outcome=no-route request=e status=404 total_ms=0
`

func TestCausesInTableAndChart(t *testing.T) {
	requests, err := loganalyser.Read(strings.NewReader(_log))
	require.NoError(t, err)
	var causes []string
	for i := range requests {
		causes = append(causes, requests[i].Cause())
	}
	assert.Equal(t, []string{loganalyser.OnTime, "late: retried before its first event", "late: resumed after a pause", "refused: crowded"}, causes)
	var table, chart bytes.Buffer
	require.NoError(t, loganalyser.WriteTable(&table, requests))
	assert.Contains(t, table.String(), "refused: crowded    1  25.0%  0  1")
	require.NoError(t, loganalyser.WriteChart(&chart, requests))
	assert.True(t, strings.HasPrefix(chart.String(), "<svg"))
	assert.Error(t, loganalyser.WriteChart(&chart, nil))
}
