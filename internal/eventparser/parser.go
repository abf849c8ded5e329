package eventparser

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxEventBytes is the largest size of one event, in bytes. Each stream may hold one that never
// ends, so it must fit into the memory that is reckoned for a connection.
const MaxEventBytes = 16 << 10

// ErrNotEvent is returned for bytes that are no event, or not the next one.
var ErrNotEvent = errors.New("not the next event of the stream")

// Event is one whole event of a stream.
type Event struct {
	// Raw has the bytes of the event as received, with the comments before it.
	Raw []byte
	// ID is the number in the event's id field.
	ID uint64
}

// Parser splits the bytes of a stream into events. The zero value is ready for use.
type Parser struct {
	// Last is the id of the event after which the stream continues; 0 at its start.
	Last uint64
	// IsExtension reports whether events may have a field of the given name besides those of
	// the format. It may be nil.
	IsExtension func(name string) bool

	// buffer has the bytes that Next has not returned yet, and lines is how many of them are
	// whole lines that have been read.
	buffer []byte
	lines  int
	// hasID and hasData are true once the lines read have such a field. id is set with hasID.
	hasID, hasData bool
	id             uint64
	err            error
}

// Add appends bytes of the stream.
func (p *Parser) Add(b []byte) { p.buffer = append(p.buffer, b...) }

// Next returns the next whole event; its bytes are valid until Add is called. It returns false
// if the event has not been received whole, and ErrNotEvent, from then on, if what has been
// received can't become the next event.
func (p *Parser) Next() (Event, bool, error) {
	for p.err == nil {
		end := bytes.IndexByte(p.buffer[p.lines:], '\n')
		if end < 0 {
			if len(p.buffer) > MaxEventBytes {
				p.err = fmt.Errorf("eventparser: %w: over %d bytes", ErrNotEvent, MaxEventBytes)
			}
			break
		}
		line := bytes.TrimSuffix(p.buffer[p.lines:p.lines+end], []byte("\r"))
		p.lines += end + 1
		if len(line) > 0 {
			p.err = p.addLine(line)
			continue
		}
		if p.hasID || p.hasData {
			e, err := p.takeEvent()
			p.err = err
			return e, err == nil, err
		}
	}
	return Event{}, false, p.err
}

// addLine reads a line that is not blank.
func (p *Parser) addLine(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case !hasColon || bytes.IndexByte(line, '\r') >= 0:
		return fmt.Errorf("eventparser: %w: a line is no field", ErrNotEvent)
	case len(name) == 0:
		return nil // a comment
	}
	switch string(name) {
	case "id":
		id, err := strconv.ParseUint(string(bytes.TrimPrefix(value, []byte(" "))), 10, 64)
		if err != nil || p.hasID {
			return fmt.Errorf("eventparser: %w: its id is no number, or not its only one", ErrNotEvent)
		}
		p.hasID, p.id = true, id
		if id != p.Last+1 {
			return fmt.Errorf("eventparser: %w: event %d received after event %d", ErrNotEvent, id, p.Last)
		}
	case "data":
		p.hasData = true
	case "event", "retry":
	default:
		if p.IsExtension == nil || !p.IsExtension(string(name)) {
			return fmt.Errorf("eventparser: %w: unknown field", ErrNotEvent)
		}
	}
	return nil
}

// takeEvent returns the event that consists of the lines read.
func (p *Parser) takeEvent() (Event, error) {
	if !p.hasID || !p.hasData {
		return Event{}, fmt.Errorf("eventparser: %w: it has no id or no data", ErrNotEvent)
	}
	e := Event{Raw: p.buffer[:p.lines], ID: p.id}
	p.buffer = p.buffer[p.lines:]
	p.Last, p.lines, p.hasID, p.hasData = p.id, 0, false, false
	return e, nil
}

// End returns what has been received after the last event, which is empty or has comments.
// It returns false if the stream may not end there: within an event, or after bytes that
// are none.
func (p *Parser) End() ([]byte, bool) {
	if p.err != nil || p.hasID || p.hasData || p.lines < len(p.buffer) {
		return nil, false
	}
	return p.buffer, true
}
