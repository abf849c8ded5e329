package logger

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// _bufferBytes is the most that a Buffer holds; lines beyond it are dropped.
	_bufferBytes = 256 << 10
	// _flushInterval is the time between two writes of a Buffer to its writer.
	_flushInterval = 250 * time.Millisecond
)

// Buffer writes log lines to a writer in batches, in the background, so that a
// slow writer doesn't block the code that logs. Lines that don't fit in the Buffer
// are dropped; the next batch ends with a line that gives their number. Make a
// Buffer with NewBuffer. It is safe for concurrent use.
type Buffer struct {
	out  io.Writer
	stop chan struct{} // closed by Close
	done chan struct{} // closed after the last write

	mu           sync.Mutex
	lines        []byte
	dropped      int   // lines dropped since the last flush
	totalDropped int64 // lines dropped since the start
	closed       bool
}

// NewBuffer returns a Buffer that writes to w, and starts its goroutine, which
// Close ends.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{out: w, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write adds one line to the next batch, or drops it if the Buffer is full or
// closed. It never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.lines)+len(line) > _bufferBytes {
		b.dropped++
		b.totalDropped++
		return len(line), nil
	}
	b.lines = append(b.lines, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes the remaining lines and returns once they are written. It never
// fails.
func (b *Buffer) Close() error {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		<-b.done
		return nil
	}
	b.closed = true
	b.mu.Unlock()
	close(b.stop)
	<-b.done
	return nil
}

// run flushes at each _flushInterval, and a last time when Close is called.
func (b *Buffer) run() {
	defer close(b.done)
	t := time.NewTicker(_flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.flush()
		case <-b.stop:
			b.flush()
			return
		}
	}
}

// flush writes the collected lines to the writer.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning event=log-dropped lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(lines) > 0 {
		// The error is ignored: there is no other place to report that the log
		// can't be written.
		_, _ = b.out.Write(lines)
	}
}
