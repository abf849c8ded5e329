package composer

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
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
	// _secretKey is the key of the object that holds the secret shared by all instances.
	_secretKey = "secret/peers"
	// _secretRetryDelay is the delay before the secret is read again after a failure.
	_secretRetryDelay = time.Second
	// _secretPeeks is the number of cheap reads of the secret before one that is up to
	// date, and _secretPeekPause the longest pause after each.
	_secretPeeks     = 3
	_secretPeekPause = 400 * time.Millisecond
)

// buildSharer builds the sharer, which exchanges loads, and changes of the configuration
// and the list of upstreams, with the other instances. It also builds the enumerator,
// which counts the instances. connectSharer starts the exchange.
func buildSharer(k *kernel) error {
	a, err := registrar.Find[Adapter](&k.services, NameAdapter)
	if err != nil {
		return err
	}
	e := &enumerator.Enumerator{
		Store: a.Store, Name: k.settings.Name(), DataCentre: k.settings.DataCentre(), Address: k.settings.PeerListen(),
		ProcessorShare: k.settings.ProcessorShare(), Log: k.log, InitialCount: _initialInstanceCount,
	}
	k.run(e.Run)
	if err := k.services.Register(NameEnumerator, e); err != nil {
		return err
	}
	sh := &sharer.Sharer{Name: k.settings.Name(), DataCentre: k.settings.DataCentre(), Log: k.log, Membership: e, Peerless: k.settings.PeerListen() == ""}
	return k.services.Register(NameSharer, sh)
}

// connectSharer connects the sharer to the catalogue and the relayer, and to the other
// instances if the settings give an address to listen on for peers. It must come after
// the services that it connects.
func connectSharer(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	sh := find[*sharer.Sharer](f, NameSharer)
	rl := find[*relayer.Relayer](f, NameRelayer)
	cd := find[*conductor.Conductor](f, NameConductor)
	if f.err != nil {
		return f.err
	}
	sh.OwnLoad = func() sharer.Load {
		l := rl.OwnLoad()
		l.LeaseTerm = cd.Lease.Term()
		return l
	}
	sh.Publish = func(t sharer.TotalLoad) {
		rl.SetTotalLoad(t)
		cd.ObserveTerm(t.LeaseTerm)
	}
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
			_ = packets.Close() // the process is stopping
			return
		}
		t, err := transporter.Listen[wire.Round](fixedBufferConn{packets}, secret)
		if err != nil {
			k.log.Failure("peers", err, logger.Fields{"outcome": "no exchange with peers"})
			return
		}
		sh.Exchanger = t
		t.Serve(sh)
		sh.Run(ctx)
		if err := t.Close(); err != nil {
			k.log.Failure("peers", err, logger.Fields{"step": "close"})
		}
	})
	return nil
}

// fixedBufferConn keeps the buffer sizes of a socket as they are: messages are small, and
// the transport would log a warning where the operating system refuses larger buffers.
type fixedBufferConn struct{ net.PacketConn }

// SetReadBuffer ignores the size.
func (fixedBufferConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer ignores the size.
func (fixedBufferConn) SetWriteBuffer(int) error { return nil }

// peerSecret returns the secret shared by all instances, and creates it if there is none.
// It retries failures, and returns false if ctx ends first.
func peerSecret(ctx context.Context, s Store, log logger.Logger) (string, bool) {
	// The secret never changes, so a read that may be out of date is enough to find it.
	for range _secretPeeks {
		if o, err := s.Peek(ctx, _secretKey); err == nil {
			return string(o.Value), true
		}
		// Of processes that start together, one soon creates the secret.
		pauser.Pause(ctx, rand.N(_secretPeekPause))
	}
	for ctx.Err() == nil {
		o, err := s.Get(ctx, _secretKey)
		if err == nil {
			return string(o.Value), true
		}
		if errors.Is(err, storer.ErrNotFound) {
			// The value is a JSON string, since the platform stores JSON.
			_, err = s.Create(ctx, _secretKey, []byte(`"`+crand.Text()+`"`))
			if err == nil || errors.Is(err, storer.ErrConflict) {
				continue
			}
		}
		log.Failure("peers", err, logger.Fields{"step": "read or create the peer secret"})
		pauser.Pause(ctx, _secretRetryDelay)
	}
	return "", false
}
