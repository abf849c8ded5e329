package accountant

import (
	"runtime/debug"
	"sync"
)

// _heapStep divides the memory limit; the result is by how much unread bytes change before the
// soft limit of the Go runtime follows, since each change of it stops the process for a moment.
const _heapStep = 64

// Heap keeps the soft limit of the Go runtime below what the kernel may hold unread. Set Account
// before use. It is safe for concurrent use.
type Heap struct {
	Account Account

	mu sync.Mutex
	// unread is what the kernel may hold now, and applied what the soft limit goes by.
	unread, applied int64
}

// Start sets the soft limit for a process without connections.
func (h *Heap) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply()
}

// AddUnread changes how many bytes the kernel may hold unread for callers' connections.
func (h *Heap) AddUnread(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unread += bytes
	if step := h.Account.MemoryLimit / _heapStep; h.unread-h.applied > step || h.applied-h.unread > step {
		h.apply()
	}
}

// Unread returns how many bytes the kernel may hold unread for callers' connections.
func (h *Heap) Unread() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unread
}

// apply sets the soft limit. The caller holds the lock.
func (h *Heap) apply() {
	h.applied = h.unread
	if h.Account.MemoryLimit > 0 {
		debug.SetMemoryLimit(h.Account.HeapLimit(h.unread))
	}
}
