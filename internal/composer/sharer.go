package composer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
	"github.com/lycheebarrow/lycheebarrow/internal/transporter"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
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
	k.run(func(ctx context.Context) { k.exchangeWithPeers(ctx, a.Store, sh, packets) })
	return nil
}

// exchangeWithPeers exchanges with the other instances until ctx ends. It begins anew where the
// store comes to hold another secret.
func (k *kernel) exchangeWithPeers(ctx context.Context, s Store, sh *sharer.Sharer, packets net.PacketConn) {
	for {
		secret, ok := peerSecret(ctx, s, k.log)
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
		current, replace := context.WithCancel(ctx)
		var keeping sync.WaitGroup
		keeping.Go(func() {
			keepSecret(current, s, secret, k.storeReturned, k.log)
			replace()
		})
		sh.Run(current)
		replace()
		keeping.Wait()
		if err := t.Close(); err != nil {
			k.log.Failure("peers", err, logger.Fields{"step": "close"})
		}
		if ctx.Err() != nil {
			return
		}
		if packets, err = k.network.ListenPacket(k.settings.PeerListen()); err != nil {
			k.log.Failure("peers", err, logger.Fields{"step": "listen again", "outcome": "no exchange with peers"})
			return
		}
	}
}

// fixedBufferConn keeps the buffer sizes of a socket as they are: messages are small, and
// the transport would log a warning where the operating system refuses larger buffers.
type fixedBufferConn struct{ net.PacketConn }

// SetReadBuffer ignores the size.
func (fixedBufferConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer ignores the size.
func (fixedBufferConn) SetWriteBuffer(int) error { return nil }
