package composer

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/transporter"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _secretKey is the object that holds the secret of the instances.
	_secretKey = "secret/peers"
	// _secretRetry is the pause before the secret is read again.
	_secretRetry = time.Second
)

// buildSharer makes what an instance shares with its peers, and counts them. It is
// started by buildSharing.
func buildSharer(k *kernel) error {
	a, err := registrar.Find[Adapter](&k.services, NameAdapter)
	if err != nil {
		return err
	}
	e := &enumerator.Enumerator{
		Store: a.Store, Name: k.settings.Name(), DataCentre: k.settings.DataCentre(), Address: k.settings.PeerListen(), Log: k.log, InitialCount: _expectedInstances,
	}
	k.run(e.Run)
	if err := k.services.Register(NameEnumerator, e); err != nil {
		return err
	}
	x := &sharer.Sharer{Name: k.settings.Name(), DataCentre: k.settings.DataCentre(), Log: k.log, Peers: func() []sharer.Peer { return peers(e) }}
	return k.services.Register(NameSharer, x)
}

func peers(e *enumerator.Enumerator) []sharer.Peer {
	list := e.Peers()
	out := make([]sharer.Peer, len(list))
	for i, p := range list {
		out[i] = sharer.Peer(p)
	}
	return out
}

// buildSharing starts to share, once the services that it joins are built.
func buildSharing(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	x := find[*sharer.Sharer](f, NameSharer)
	c := find[*cataloguer.Catalogue](f, NameCatalogue)
	s := find[*relayer.Relayer](f, NameRelayer)
	if f.err != nil {
		return f.err
	}
	x.OwnLoad, x.ReadsDirectly, x.Publish = s.OwnLoad, c.Leading, s.SetTotalLoad
	if k.settings.PeerListen() == "" {
		return nil
	}
	packets, err := k.network.ListenPacket(k.settings.PeerListen())
	if err != nil {
		return fmt.Errorf("composer: listen for peers at %s: %w; choose a free port with -peer-listen", k.settings.PeerListen(), err)
	}
	k.log.Event("listen", logger.Fields{"service": "peers", "address": packets.LocalAddr().String()})
	k.run(func(ctx context.Context) {
		secret, ok := peerSecret(ctx, a.Store, k.log)
		if !ok {
			_ = packets.Close() // the process ends
			return
		}
		t, err := transporter.Listen[wire.Round](smallPackets{packets}, secret)
		if err != nil {
			k.log.Failure("peers", err, logger.Fields{"outcome": "nothing is shared"})
			return
		}
		x.Exchanger = t
		t.Serve(x)
		x.Run(ctx)
		if err := t.Close(); err != nil {
			k.log.Failure("peers", err, logger.Fields{"step": "close"})
		}
	})
	return nil
}

// smallPackets keeps the buffers that a socket has: rounds are small, and the
// transport would complain where the machine refuses larger ones.
type smallPackets struct{ net.PacketConn }

// SetReadBuffer does nothing.
func (smallPackets) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing.
func (smallPackets) SetWriteBuffer(int) error { return nil }

// peerSecret returns the secret of the instances, which the first of them has made.
// It is false where ctx ended before.
func peerSecret(ctx context.Context, s Store, log logger.Logger) (string, bool) {
	for ctx.Err() == nil {
		o, err := s.Get(ctx, _secretKey)
		if err == nil {
			return string(o.Value), true
		}
		if errors.Is(err, storer.ErrNotFound) {
			// A JSON text, since that is what the platform keeps.
			_, err = s.Create(ctx, _secretKey, []byte(`"`+rand.Text()+`"`))
			if err == nil || errors.Is(err, storer.ErrConflict) {
				continue
			}
		}
		log.Failure("peers", err, logger.Fields{"step": "read the secret"})
		pauser.Pause(ctx, _secretRetry)
	}
	return "", false
}
