package replicator_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var _sizes = flag.String("sizes", "7", "comma-separated numbers of processes to measure")

const (
	// bytesLimit is the most that the digests which one process sends and receives may take
	// together, in bytes per second.
	bytesLimit = 3000
	// patchInterval is the time between two patches: 6,400 changes a day.
	patchInterval = 13500 * time.Millisecond
	warmUpPeriod  = 2 * time.Minute
	measurePeriod = 2 * time.Minute
)

// cpuTime returns the processor time that the test binary has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the live heap, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// generateLoad applies patches and writes placements for the duration d. Patches come at the
// rate of a full-sized system of 370 processes, and placements at n/370 of that system's
// rate.
func generateLoad(t *testing.T, f *fleet, n int, d time.Duration) {
	const placementInterval = 10 * time.Second
	patched, placed := time.Now(), time.Now()
	revision := make(map[int]uint64)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if time.Since(patched) >= patchInterval {
			patched = time.Now()
			applyPatch(t, f.members[0])
		}
		if time.Since(placed) >= placementInterval*370/time.Duration(n) {
			placed = time.Now()
			domain := len(revision) % max(1, n/2)
			revision[domain]++
			writePlacement(t, f.store, domainPlacement(domain, revision[domain]+1))
		}
	}
}

// domainPlacement returns the placement of a fabric domain of 40 instances.
func domainPlacement(domain int, revision uint64) *wire.Placement {
	p := &wire.Placement{DataCentre: "qld-bne", Domain: fmt.Sprintf("f%d", domain), Revision: revision}
	for i := range 5 {
		r := &wire.Replica{Name: fmt.Sprintf("forms/f%d/%d", domain, i), Group: "forms", Model: "form-assistant", Version: "v1"}
		for j := range 8 {
			r.Members = append(r.Members, fmt.Sprintf("qld-bne-f%d-i%d-%d", domain, i, j))
			r.Addresses = append(r.Addresses, fmt.Sprintf("10.200.%d.%d:9100", domain, i*8+j))
		}
		p.Replicas = append(p.Replicas, r)
	}
	return p
}

// organisationsPatch returns a merge patch that adds 100 organisations.
func organisationsPatch() json.RawMessage {
	organisations := make(map[string]any)
	for i := range 100 {
		organisations[fmt.Sprintf("organisation-%03d", i)] = map[string]any{"keys_sha256": []string{fmt.Sprintf("%064d", i)}}
	}
	text, _ := json.Marshal(map[string]any{"organisations": organisations})
	return text
}

// TestBytesOfDigests checks the bytes that digests take for each process, and logs the bytes,
// the processor time and the memory. The flag -sizes sets the numbers of processes.
func TestBytesOfDigests(t *testing.T) {
	for size := range strings.SplitSeq(*_sizes, ",") {
		for _, direct := range []bool{false, true} {
			var n int
			_, err := fmt.Sscan(size, &n)
			require.NoError(t, err)
			t.Run(fmt.Sprintf("%d direct=%v", n, direct), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureDigests(t, n, direct) })
			})
		}
	}
}

// measureDigests runs n processes under load, logs the cost of the exchanges, and checks the
// bytes of digests for each process. With direct, every process reads the platform itself.
func measureDigests(t *testing.T, n int, direct bool) {
	heapBefore := heapBytes()
	f := newFleet()
	f.direct = direct
	defer f.close()
	for domain := range n / 2 {
		writePlacement(t, f.store, domainPlacement(domain, 1))
	}
	for i := range n {
		f.add(fmt.Sprintf("dc-%02d", i%max(3, n/17)), i, "dc-00-000:1")
	}
	time.Sleep(30 * time.Second)
	_, err := f.members[0].configuration.Patch(context.Background(), configurer.Patch{
		ID: "first", Author: "ann", Reason: "first", Merge: organisationsPatch(),
	})
	require.NoError(t, err)
	generateLoad(t, f, n, warmUpPeriod)
	bytes, exchanges := f.counts()
	calls, cpuBefore := f.store.CallCount(), cpuTime()
	generateLoad(t, f, n, measurePeriod)
	seconds := measurePeriod.Seconds() * float64(n)
	bytesAfter, exchangesAfter := f.counts()
	perProcess := 2 * float64(bytesAfter-bytes) / seconds
	t.Logf("n=%d direct=%v: digests %.0f B/s sent and received, %.2f exchanges/s, cpu %.3f%% of a core, heap %.2f MB, per process; platform %.2f calls/s in total",
		n, direct, perProcess, 2*float64(exchangesAfter-exchanges)/seconds, 100*(cpuTime()-cpuBefore).Seconds()/seconds,
		float64(heapBytes()-heapBefore)/float64(n)/(1<<20), float64(f.store.CallCount()-calls)/measurePeriod.Seconds())
	require.Less(t, perProcess, float64(bytesLimit))
}
