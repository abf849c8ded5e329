package budgeter

// _keptSlices is the number of slices whose counts are kept: those of the current window and
// of the one before it.
const _keptSlices = 2 * _slicesPerWindow

// slice has the counts of one slice of time.
type slice struct {
	requests, retries int
}

// counters has the counts of one service for the latest slices.
type counters struct {
	// latest is the number of the current slice.
	latest int64
	// slices has the counts of a slice at its number modulo _keptSlices.
	slices [_keptSlices]slice
}

// current returns the counts of the current slice.
func (c *counters) current() *slice { return &c.slices[c.latest%_keptSlices] }

// at returns the counts of a slice; they are 0 if it is not kept.
func (c *counters) at(number int64) slice {
	if number < 0 || number > c.latest || number <= c.latest-_keptSlices {
		return slice{}
	}
	return c.slices[number%_keptSlices]
}

// advance makes a slice the current one, unless it has passed.
func (c *counters) advance(number int64) {
	for n := 0; c.latest < number && n < _keptSlices; n++ {
		c.latest++
		*c.current() = slice{}
	}
	c.latest = max(c.latest, number)
}

// mostRequests returns the number of requests of a window that ends in the slice last, of
// the one before it or of the one half a window before it, whichever has most. The window
// may end anywhere in that slice, so only slices that are in it in any case count. The slice
// must not be before the current one.
func (c *counters) mostRequests(last int64) int {
	const half = _slicesPerWindow / 2
	return max(
		c.requestsIn(last-_slicesPerWindow+1, c.latest),
		c.requestsIn(last-half-_slicesPerWindow+1, last-half-1),
		c.requestsIn(last-2*_slicesPerWindow+1, last-_slicesPerWindow-1),
	)
}

// requestsIn returns the number of requests in the slices from first to last.
func (c *counters) requestsIn(first, last int64) int {
	n := 0
	for i := first; i <= last; i++ {
		n += c.at(i).requests
	}
	return n
}
