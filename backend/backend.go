// Package backend is what a QUIC server takes in to stand behind passtray: a
// packet connection that strips and adds the encapsulation, connection IDs that
// route back to this target, and a drain that cuts nothing.
//
//	listener, err := backend.Listen(address, backend.Config{...}, tlsConfig, quicConfig)
//	for {
//		connection, err := listener.Accept(ctx)
//		...
//	}
package backend

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/connectionid"
)

// Config says who this target is.
type Config struct {
	// Service and Target are the names declared to the operators' interface.
	// What is meant for another target is dropped.
	Service string
	Target  string
	// KeyringPath is the keyring file shared with the daemons.
	KeyringPath string
	// Slots is how many requests may run at once, MaximumConnections how many
	// connections may be open; both are reported to the daemons.
	Slots              uint16
	MaximumConnections uint32
	// Daemons are the networks daemons stand in. A datagram from elsewhere is
	// dropped. Empty trusts every network, for a closed one.
	Daemons []netip.Prefix
	// Load, if set, replaces the counted load in reports, for servers that know
	// their load better. It is called with every datagram sent and must be fast.
	Load func(busySlots uint16, connections uint32) (uint16, uint32)
	// Trace, if set, sees every datagram that a daemon sent here: the service
	// address its caller used, and whether it was meant for this target. It must
	// not block.
	Trace func(service netip.AddrPort, accepted bool)
}

// errDraining makes the library answer CONNECTION_REFUSED.
var errDraining = eris.New("the target is draining")

// errFull does so too.
var errFull = eris.New("the target holds as many connections as it may")

// Listener accepts QUIC connections that come through passtray. It is safe for
// concurrent use.
type Listener struct {
	packets   *PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	slots     chan struct{}
	open      sync.WaitGroup
	attempts  atomic.Uint64
}

// Listen opens the target's address. Zero round-trip data is off: a request
// must not run before its connection is known to be this target's alone.
func Listen(address netip.AddrPort, config Config, tlsConfig *tls.Config, quicConfig *quic.Config) (*Listener, error) {
	packets, err := ListenPacket(address, config)
	if err != nil {
		return nil, err
	}
	listener := &Listener{packets: packets, slots: make(chan struct{}, max(1, config.Slots))}
	listener.transport = &quic.Transport{Conn: packets, ConnectionIDGenerator: &idGenerator{packets: packets}}
	settings := &quic.Config{}
	if quicConfig != nil {
		settings = quicConfig.Clone()
	}
	settings.Allow0RTT = false
	settings.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) { return listener.admit(settings) }
	listener.listener, err = listener.transport.Listen(tlsConfig, settings)
	if err != nil {
		_ = packets.Close()
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}

func (l *Listener) admit(settings *quic.Config) (*quic.Config, error) {
	l.attempts.Add(1)
	if l.packets.isDraining() {
		return nil, errDraining
	}
	if maximum := l.packets.config.MaximumConnections; maximum > 0 && l.packets.connections.Load() >= maximum {
		return nil, errFull
	}
	return settings, nil
}

// Accept returns the next connection. It counts as open until its context ends.
func (l *Listener) Accept(ctx context.Context) (*quic.Conn, error) {
	connection, err := l.listener.Accept(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "accept")
	}
	l.packets.connections.Add(1)
	l.open.Add(1)
	go func() {
		<-connection.Context().Done()
		l.packets.connections.Add(^uint32(0))
		l.open.Done()
	}()
	return connection, nil
}

// AcquireSlot waits for one of the target's slots and returns what gives it
// back.
func (l *Listener) AcquireSlot(ctx context.Context) (func(), error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.packets.busy.Add(1)
	return func() {
		l.packets.busy.Add(^uint32(0))
		<-l.slots
	}, nil
}

// Attempts returns how many handshakes clients have begun here, those refused
// and those never ended among them.
func (l *Listener) Attempts() uint64 { return l.attempts.Load() }

// Connections returns how many connections are open.
func (l *Listener) Connections() uint32 { return l.packets.connections.Load() }

// BusySlots returns how many slots are taken.
func (l *Listener) BusySlots() uint32 { return l.packets.busy.Load() }

// Drain refuses new connections from now on and tells the daemons so with every
// packet. Open connections go on.
func (l *Listener) Drain() {
	l.packets.draining.Store(true)
}

// IsDraining reports whether Drain was called, or the operators have drained the
// target: daemons say so with every datagram. A server may wait for it and then
// for WaitIdle, and exit.
func (l *Listener) IsDraining() bool { return l.packets.isDraining() }

// WaitIdle waits until every accepted connection has ended.
func (l *Listener) WaitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		l.open.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns how many datagrams were not meant for this target.
func (l *Listener) Dropped() uint64 { return l.packets.dropped.Load() }

// ReloadKeyring reads the keyring file again: new IDs are issued under its
// active key.
func (l *Listener) ReloadKeyring() error { return l.packets.reloadKeyring() }

// Close ends everything at once.
func (l *Listener) Close() error {
	_ = l.listener.Close()
	_ = l.transport.Close()
	return l.packets.Close()
}

// idGenerator issues routable connection IDs.
type idGenerator struct {
	packets *PacketConn
}

// GenerateConnectionID fails until the first datagram has told this target its
// numbers, which every first flight does.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	route, known := g.packets.route()
	if !known {
		return quic.ConnectionID{}, eris.New("the target's numbers are not known yet")
	}
	id, err := g.packets.newID(route)
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen is the length of every ID.
func (g *idGenerator) ConnectionIDLen() int { return connectionid.Length }
