package transporter_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lycheebarrow/lycheebarrow/internal/transporter"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers each digest with its configuration number plus one.
type echo struct{ received atomic.Int64 }

func (e *echo) Answer(_ context.Context, d *wire.Digest) (*wire.Digest, error) {
	e.received.Add(1)
	return &wire.Digest{ConfigurationNumber: d.GetConfigurationNumber() + 1, Configuration: d.GetConfiguration()}, nil
}

// listen starts a Transporter on a free local port that answers with a.
func listen(t *testing.T, secret string, a transporter.Answerer[wire.Digest]) *transporter.Transporter[wire.Digest, *wire.Digest] {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	server, err := transporter.Listen[wire.Digest](c, secret)
	require.NoError(t, err)
	server.Serve(a)
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func TestExchange(t *testing.T) {
	testCases := []struct {
		name    string
		secret  string
		bytes   int
		refused bool
	}{
		{name: "small digest", secret: "the-shared-secret-1"},
		{name: "digest with a configuration of a megabyte", secret: "the-shared-secret-1", bytes: 1 << 20},
		{name: "another secret", secret: "the-shared-secret-2", refused: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var server, client echo
			to := listen(t, "the-shared-secret-1", &server)
			from := listen(t, tc.secret, &client)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			document := strings.Repeat("x", tc.bytes)
			d := &wire.Digest{ConfigurationNumber: 7, Configuration: &wire.ConfigurationRecord{Document: document}}
			answer, err := from.Exchange(ctx, to.Address(), d)
			if tc.refused {
				require.Error(t, err)
				require.Nil(t, answer)
				require.Zero(t, server.received.Load(), "the server read a digest from a peer with another secret")
				return
			}
			require.NoError(t, err)
			require.EqualValues(t, 8, answer.GetConfigurationNumber())
			require.Equal(t, document, answer.GetConfiguration().GetDocument())
		})
	}
}

// A client must not send its digest to a server with another secret.
func TestExchangeRefusesServerWithAnotherSecret(t *testing.T) {
	var server, client echo
	to := listen(t, "the-shared-secret-2", &server)
	from := listen(t, "the-shared-secret-1", &client)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := from.Exchange(ctx, to.Address(), &wire.Digest{ConfigurationNumber: 7})
	require.ErrorIs(t, err, transporter.ErrWrongSecret)
	require.Zero(t, server.received.Load())
}

// A client reaches a peer again after the peer was restarted at the same address.
func TestExchangeAfterPeerRestart(t *testing.T) {
	const secret = "the-shared-secret-1"
	var server, client echo
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	to, err := transporter.Listen[wire.Digest](c, secret)
	require.NoError(t, err)
	to.Serve(&server)
	from := listen(t, secret, &client)
	_, err = from.Exchange(t.Context(), to.Address(), &wire.Digest{})
	require.NoError(t, err)
	address := to.Address()
	require.NoError(t, to.Close())

	c, err = net.ListenPacket("udp", address)
	require.NoError(t, err)
	to, err = transporter.Listen[wire.Digest](c, secret)
	require.NoError(t, err)
	to.Serve(&server)
	defer to.Close()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := from.Exchange(ctx, address, &wire.Digest{})
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
}
