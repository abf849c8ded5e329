package drainer

import (
	"bytes"
	"errors"
)

// _memoryPerHeadLine is the memory, in bytes, of a line of a request's head besides its text:
// net/http keeps an entry of a map, a slice and two strings for each field.
const _memoryPerHeadLine = 100

// errHeadsTooLarge says that the heads of requests take more memory than allowed, and that of this
// connection the most.
var errHeadsTooLarge = errors.New("drainer: heads of requests take too much memory")

// headEnd finds the end of a head in the bytes of a connection. The zero value is at the beginning
// of a head.
type headEnd struct{ last [2]byte }

// find returns how many of the next bytes belong to the head, and whether it ends with them.
func (e *headEnd) find(next []byte) (int, bool) {
	for i, b := range next {
		if b == '\n' && (e.last[1] == '\n' || e.last == [2]byte{'\n', '\r'}) {
			return i + 1, true
		}
		e.last = [2]byte{e.last[1], b}
	}
	return len(next), false
}

// headMemory returns an estimate of the memory, in bytes, that bytes of a head take once parsed.
func headMemory(head []byte) int64 {
	return int64(2*len(head) + _memoryPerHeadLine*bytes.Count(head, []byte("\n")))
}

// HeadMemory returns the estimated memory, in bytes, of the heads of requests that are being read
// or served.
func (d *Drainer) HeadMemory() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.headMemory
}

// HeadsCut returns the number of connections that were closed for the memory of their heads.
func (d *Drainer) HeadsCut() int64 { return d.headsCut.Load() }

// beginHead records that the next bytes of a connection are those of the next head, and that the
// memory of the last one is free.
func (d *Drainer) beginHead(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseHead(c)
	c.readsHead, c.headEnd = true, headEnd{}
}

// releaseHead gives back the memory of a connection's head. The caller holds the mutex.
func (d *Drainer) releaseHead(c *conn) {
	d.headMemory -= c.headMemory
	c.headMemory = 0
}

// addHead adds bytes that were read from a connection to the memory of its head, as far as they
// belong to one. That memory is in use until the response has ended. Where all heads take more
// than allowed, the connection with the largest is closed; addHead returns an error if that is c.
// An ordinary head is small, so that it is the last.
func (d *Drainer) addHead(c *conn, read []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.readsHead || d.HeadMemoryLimit == 0 {
		return nil
	}
	length, ends := c.headEnd.find(read)
	c.readsHead = !ends
	n := headMemory(read[:length])
	c.headMemory += n
	d.headMemory += n
	for d.headMemory > d.HeadMemoryLimit {
		largest := c
		for x := range d.conns {
			if x.headMemory > largest.headMemory {
				largest = x
			}
		}
		d.headsCut.Add(1)
		d.abort(largest)
		if largest == c {
			return errHeadsTooLarge
		}
	}
	return nil
}
