package relayer

import (
	"bytes"
	"strconv"
)

// event is one whole event of a stream.
type event struct {
	// raw has the bytes of the event as received.
	raw []byte
	// id is the number in the event's id field; 0 if it has none.
	id uint64
}

// splitter splits the bytes of a stream into whole events. The zero value is ready
// for use.
type splitter struct {
	// buffer has the bytes that next has not returned yet.
	buffer []byte
}

var (
	_blankLine = []byte("\n\n")
	_idField   = []byte("id:")
)

// add appends bytes of the stream.
func (s *splitter) add(b []byte) { s.buffer = append(s.buffer, b...) }

// next returns the next whole event; its bytes are valid until add is called.
func (s *splitter) next() (event, bool) {
	end := bytes.Index(s.buffer, _blankLine)
	if end < 0 {
		return event{}, false
	}
	end += len(_blankLine)
	e := event{raw: s.buffer[:end]}
	s.buffer = s.buffer[end:]
	for line := range bytes.SplitSeq(e.raw, []byte("\n")) {
		text, ok := bytes.CutPrefix(line, _idField)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
		if err == nil {
			e.id = n
		}
	}
	return e, true
}

// rest returns the bytes that next has not returned: an incomplete event, once
// next returns false.
func (s *splitter) rest() []byte { return s.buffer }
