package logger

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// _bufferBytes is what a Buffer holds at most; lines beyond it are dropped.
	_bufferBytes = 256 << 10
	// _flushEvery is the time between two writes of a Buffer.
	_flushEvery = 250 * time.Millisecond
)

// Buffer passes lines on to a writer in batches and never blocks who writes to
// it. While the writer is slow, lines are dropped; the next line that is passed
// on says how many. Make it with NewBuffer.
type Buffer struct {
	to   io.Writer
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	lines   []byte
	dropped int
	total   int64
	closed  bool
}

// NewBuffer returns a Buffer that writes to w.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{to: w, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line. It never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.lines)+len(line) > _bufferBytes {
		b.dropped++
		b.total++
		return len(line), nil
	}
	b.lines = append(b.lines, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes what is left and waits for it.
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

func (b *Buffer) run() {
	defer close(b.done)
	t := time.NewTicker(_flushEvery)
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

func (b *Buffer) flush() {
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning event=log-dropped lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(lines) > 0 {
		// Nobody can be told that the log can't be written.
		_, _ = b.to.Write(lines)
	}
}
