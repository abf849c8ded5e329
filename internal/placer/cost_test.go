package placer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

// processorTime returns the processor time that the test process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingNetwork is the operating system's network. It counts the bytes that its
// connections read and write.
type countingNetwork struct {
	networker.System
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (m *countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := m.System.DialContext(ctx, network, address)
	return countingConn{c, m}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures one probe of a member of a replica of 8 over loopback.
// The figures include the stand-in engine's part.
// Command: go test ./internal/placer -run '^$' -bench Probe -benchmem
func BenchmarkProbe(b *testing.B) {
	m := &countingNetwork{}
	e := standin.NewEngine(standin.EngineOptions{Name: "f0-00", Network: m})
	s := httptest.NewServer(e)
	defer s.Close()
	c := engineclient.New(m)
	defer c.Close()
	address := s.Listener.Addr().String()
	members := []string{"f0-00", "f0-01", "f0-02", "f0-03", "f0-04", "f0-05", "f0-06", "f0-07"}
	_, err := c.Order(b.Context(), address, engineclient.Order{Replica: "forms/f0/1", Generation: 1, Model: "form-assistant", Version: "v1", Members: members, Slots: 8})
	require.NoError(b, err)
	m.bytes.Store(0)
	start := processorTime()
	for b.Loop() {
		_, err = c.Status(b.Context(), address)
	}
	require.NoError(b, err)
	b.ReportMetric(float64(m.bytes.Load())/float64(b.N), "bytes/op")
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-µs/op")
}
