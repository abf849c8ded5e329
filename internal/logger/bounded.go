package logger

import (
	"errors"
	"maps"
)

// _maxValueBytes is the largest size of a value in an event, in bytes. Callers choose the ids of
// their requests and the names of models, and may send long ones.
const _maxValueBytes = 512

// _cutMark ends a value that was cut.
const _cutMark = "...(cut)"

// bounded returns fields in which no text and no error is longer than _maxValueBytes. It returns
// fields itself where that holds.
func bounded(fields Fields) Fields {
	var out Fields
	for name, value := range fields {
		short, cut := boundedValue(value)
		if !cut {
			continue
		}
		if out == nil {
			out = maps.Clone(fields)
		}
		out[name] = short
	}
	if out == nil {
		return fields
	}
	return out
}

// boundedValue returns a value that is not too long, and whether it is another one than value.
func boundedValue(value any) (short any, cut bool) {
	switch v := value.(type) {
	case string:
		if len(v) > _maxValueBytes {
			return cutText(v), true
		}
	case error:
		if text := v.Error(); len(text) > _maxValueBytes {
			return errors.New(cutText(text)), true
		}
	}
	return value, false
}

func cutText(text string) string { return text[:_maxValueBytes-len(_cutMark)] + _cutMark }
