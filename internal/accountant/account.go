package accountant

const (
	_kilobyte = 1 << 10
	_megabyte = 1 << 20
)

const (
	// _programMemory is for the program, its configuration, its view of the fleet, rounds with
	// peers, log lines and spans of free memory, in bytes.
	_programMemory = 32 * _megabyte
	// _evidenceMemory bounds the evidence of prompts that crash upstreams, in bytes.
	_evidenceMemory = 16 * _megabyte

	// The next three divide the memory limit; the results are the memory of callers' bodies, of
	// the heads of their requests and of responses that are read whole.
	_limitPerBodies    = 8
	_limitPerHeads     = 16
	_limitPerResponses = 6

	// _connectionMemory is that of a caller's connection with a request in progress besides its
	// head and body: buffers and goroutines of both sides and the events of a stream, in bytes.
	_connectionMemory = 40 * _kilobyte

	// _callerBuffer and _dialBuffer are the sizes that sockets ask for their receive buffers, in
	// bytes, on callers' connections and on those that the process opens. The kernel doubles the
	// size.
	_callerBuffer = 8 * _kilobyte
	_dialBuffer   = 8 * _kilobyte
	// _bodyBuffer is the size for a connection on which a large body comes. A small buffer
	// would make it slow over a long distance.
	_bodyBuffer = 64 * _kilobyte
	// _kernelFactor is how much more than a socket asks for the kernel receives.
	_kernelFactor = 2

	// _monitors is the largest number of connections to the port for metrics and health checks,
	// and _monitorMemory that of one of them, in bytes.
	_monitors      = 64
	_monitorMemory = 24 * _kilobyte

	// _maxBacklog is the largest number of connections that wait to be accepted.
	_maxBacklog = 1024

	// _heapFraction is the fraction of the memory limit that the Go runtime and the unread
	// bytes of callers' connections take together before the garbage collector runs more often.
	_heapFraction = 0.6
	// _callersFraction is the fraction of an instance's descriptors for callers' connections. As
	// many may be needed for upstreams, and the others are for files, peers and the store.
	_callersFraction = 0.375
)

// MinMemoryLimit is the smallest memory limit that leaves room for callers, in bytes.
const MinMemoryLimit = 96 * _megabyte

// Account is the division of the memory of an instance. The zero value has no limits.
type Account struct {
	// MemoryLimit is the memory of the instance in bytes, at least MinMemoryLimit; 0 means no
	// limit.
	MemoryLimit int64
	// DescriptorsLimit is the number of its descriptors; 0 means no limit.
	DescriptorsLimit int
}

// Bodies returns the memory of callers' request bodies, in bytes; 0 means no limit.
func (a Account) Bodies() int64 { return a.MemoryLimit / _limitPerBodies }

// Heads returns the memory of the heads of callers' requests, in bytes; 0 means no limit.
func (a Account) Heads() int64 { return a.MemoryLimit / _limitPerHeads }

// Responses returns the memory of responses that are read whole before they are passed on, in
// bytes; 0 means no limit.
func (a Account) Responses() int64 { return a.MemoryLimit / _limitPerResponses }

// Callers returns the largest number of callers' connections: that for which there are
// descriptors and memory; 0 means no limit.
func (a Account) Callers() int {
	byDescriptors := int(_callersFraction * float64(a.DescriptorsLimit))
	if a.MemoryLimit == 0 {
		return byDescriptors
	}
	left := a.MemoryLimit - _programMemory - _evidenceMemory - a.Bodies() - a.Heads() - a.Responses() - int64(a.Monitors())*monitorMemory()
	byMemory := int(left / (callerMemory() + waitingMemory()))
	if byDescriptors == 0 {
		return byMemory
	}
	return min(byDescriptors, byMemory)
}

// Backlog returns the largest number of connections that wait to be accepted; 0 means the
// default of the operating system.
func (a Account) Backlog() int {
	if a.MemoryLimit == 0 {
		return 0
	}
	return min(a.Callers(), _maxBacklog)
}

// Monitors returns the largest number of connections to the port for metrics and health checks;
// 0 means no limit.
func (a Account) Monitors() int { return a.ifLimited(_monitors) }

// MonitorHeads returns the memory of the heads of requests there, in bytes; 0 means no limit. It
// is part of what the program has.
func (a Account) MonitorHeads() int64 { return int64(a.ifLimited(_megabyte)) }

// CallerBuffer returns the size that callers' connections ask for their receive buffers, in
// bytes; 0 means that of the operating system.
func (a Account) CallerBuffer() int { return a.ifLimited(_callerBuffer) }

// BodyBuffer returns the size while a large body comes, in bytes; 0 means that of the operating
// system.
func (a Account) BodyBuffer() int { return a.ifLimited(_bodyBuffer) }

// DialBuffer returns the size of the receive buffers of connections that the process opens, in
// bytes; 0 means that of the operating system.
func (a Account) DialBuffer() int { return a.ifLimited(_dialBuffer) }

// ifLimited returns n, or 0 where the memory has no limit.
func (a Account) ifLimited(n int) int {
	if a.MemoryLimit == 0 {
		return 0
	}
	return n
}

// HeapLimit returns the soft limit of the Go runtime, in bytes, while the kernel may hold
// unread bytes for callers' connections.
func (a Account) HeapLimit(unread int64) int64 {
	return int64(_heapFraction*float64(a.MemoryLimit)) - unread
}

// UnreadBytes returns how many bytes the kernel may hold for a connection whose socket asks for
// a receive buffer of a size.
func UnreadBytes(size int) int64 { return _kernelFactor * int64(size) }

// callerMemory returns the memory of a caller's connection with a request at an upstream.
func callerMemory() int64 {
	return _connectionMemory + UnreadBytes(_callerBuffer) + UnreadBytes(_dialBuffer)
}

// waitingMemory returns the memory of a connection that waits to be accepted.
func waitingMemory() int64 { return UnreadBytes(_callerBuffer) }

// monitorMemory returns the memory of a connection to the port for metrics and health checks.
func monitorMemory() int64 { return _monitorMemory + UnreadBytes(_callerBuffer) }

// Row is one line of the account: at most Count of something that takes Each bytes.
type Row struct {
	Name  string
	Each  int64
	Count int
}

// Sum returns the memory of the row, in bytes.
func (r Row) Sum() int64 { return r.Each * int64(r.Count) }

// Rows returns the division. The sum of the rows is at most MemoryLimit.
func (a Account) Rows() []Row {
	return []Row{
		{Name: "program, configuration, fleet, peers, log", Each: _programMemory, Count: 1},
		{Name: "evidence of prompts that crash upstreams", Each: _evidenceMemory, Count: 1},
		{Name: "bodies of requests", Each: a.Bodies(), Count: 1},
		{Name: "heads of requests", Each: a.Heads(), Count: 1},
		{Name: "responses read whole", Each: a.Responses(), Count: 1},
		{Name: "callers' connections, each with one to an upstream", Each: callerMemory(), Count: a.Callers()},
		{Name: "connections that wait to be accepted", Each: waitingMemory(), Count: a.Backlog()},
		{Name: "connections for metrics and health checks", Each: monitorMemory(), Count: a.Monitors()},
	}
}
