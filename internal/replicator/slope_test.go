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

var _sizes = flag.String("sizes", "7", "numbers of processes to measure, with commas")

const (
	// bytesLimit is what the digests of one process, those sent and those
	// received, may take in a second.
	bytesLimit = 3000
	// patchInterval is 6,400 changes a day.
	patchInterval = 13500 * time.Millisecond
	warmUp        = 2 * time.Minute
	measured      = 2 * time.Minute
)

// cpu returns the processor time of this program so far.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// load patches and places as the whole fleet does at its share of the full
// size, until the time is over.
func load(t *testing.T, f *fleet, n int, d time.Duration) {
	const placementInterval = 10 * time.Second
	patched, placed := time.Now(), time.Now()
	revision := make(map[int]uint64)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if time.Since(patched) >= patchInterval {
			patched = time.Now()
			patch(t, f.members[0])
		}
		if time.Since(placed) >= placementInterval*370/time.Duration(n) {
			placed = time.Now()
			domain := len(revision) % max(1, n/2)
			revision[domain]++
			write(t, f.store, domainPlacement(domain, revision[domain]+1))
		}
	}
}

// domainPlacement is the placement of a domain of 40 instances.
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

// document is a patch that makes a configuration of 100 organisations.
func document() json.RawMessage {
	organisations := make(map[string]any)
	for i := range 100 {
		organisations[fmt.Sprintf("organisation-%03d", i)] = map[string]any{"keys_sha256": []string{fmt.Sprintf("%064d", i)}}
	}
	text, _ := json.Marshal(map[string]any{"organisations": organisations})
	return text
}

// TestBytesOfDigests bounds what peers tell each other and prints what it
// takes; -sizes chooses the numbers of processes.
func TestBytesOfDigests(t *testing.T) {
	for size := range strings.SplitSeq(*_sizes, ",") {
		for _, direct := range []bool{false, true} {
			var n int
			_, err := fmt.Sscan(size, &n)
			require.NoError(t, err)
			t.Run(fmt.Sprintf("%d direct=%v", n, direct), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measure(t, n, direct) })
			})
		}
	}
}

func measure(t *testing.T, n int, direct bool) {
	before := heap()
	f := newFleet()
	f.direct = direct
	defer f.close()
	for domain := range n / 2 {
		write(t, f.store, domainPlacement(domain, 1))
	}
	for i := range n {
		f.add(fmt.Sprintf("dc-%02d", i%max(3, n/17)), i, "dc-00-000:1")
	}
	time.Sleep(30 * time.Second)
	_, err := f.members[0].configuration.Patch(context.Background(), configurer.Patch{
		ID: "first", Author: "ann", Reason: "first", Merge: document(),
	})
	require.NoError(t, err)
	load(t, f, n, warmUp)
	bytes, exchanges := f.counts()
	calls, spent := f.store.Calls(), cpu()
	load(t, f, n, measured)
	seconds := measured.Seconds() * float64(n)
	bytesAfter, exchangesAfter := f.counts()
	perProcess := 2 * float64(bytesAfter-bytes) / seconds
	t.Logf("n=%d direct=%v: digests %.0f B/s sent and received, %.2f exchanges/s, cpu %.3f%% of a core, heap %.2f MB, each; platform %.2f calls/s, all together",
		n, direct, perProcess, 2*float64(exchangesAfter-exchanges)/seconds, 100*(cpu()-spent).Seconds()/seconds,
		float64(heap()-before)/float64(n)/(1<<20), float64(f.store.Calls()-calls)/measured.Seconds())
	require.Less(t, perProcess, float64(bytesLimit))
}
