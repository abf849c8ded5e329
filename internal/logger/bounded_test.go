package logger_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// sink keeps the newest event.
type sink struct{ fields logger.Fields }

// Record keeps the fields.
func (s *sink) Record(_ string, fields logger.Fields) { s.fields = fields }

// Guards against callers whose long request ids fill the log, or the memory of those who keep
// events.
func TestLongValuesAreCut(t *testing.T) {
	const maxBytes = 512
	long := strings.Repeat("x", 60_000)
	var out bytes.Buffer
	kept := &sink{}
	l := logger.New(&out, "p").WithSink(kept)
	for name, write := range map[string]func(f logger.Fields){
		"event":   func(f logger.Fields) { l.Event("e", f) },
		"warning": func(f logger.Fields) { l.Warn("e", f) },
		"failure": func(f logger.Fields) { l.Failure("e", errors.New(long), f) },
	} {
		fields := logger.Fields{"request": long, "model": "m", "sends": 1, "cause": errors.New(long), "none": nil}
		out.Reset()
		write(fields)
		assert.Less(t, out.Len(), 4*maxBytes, name)
		assert.Contains(t, out.String(), "...(cut)", name)
		assert.Contains(t, out.String(), "model=m", name)
		assert.Len(t, kept.fields["request"], maxBytes, name)
		assert.Equal(t, 1, kept.fields["sends"], name)
		assert.Len(t, fields["request"], len(long), "the caller's fields stay as they are")
	}
	fields := logger.Fields{"request": strings.Repeat("x", maxBytes)}
	l.Event("e", fields)
	assert.Equal(t, fields, kept.fields)
}
