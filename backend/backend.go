// Package backend lets a QUIC server run as a target behind passtray. It provides a packet connection
// that handles the encapsulation, connection IDs that route back to this target, and graceful
// draining.
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

// Config configures a target.
type Config struct {
	// Service and Target are the names configured through the operator API. Datagrams for
	// other targets are dropped.
	Service string
	Target  string
	// KeyringPath is the keyring file shared with the daemons.
	KeyringPath string
	// Slots is the maximum number of concurrent requests, MaximumConnections the maximum number
	// of open connections, 0 for no limit. Both are reported to the daemons.
	Slots              uint16
	MaximumConnections uint32
	// Daemons are the networks of the daemons; datagrams from other sources are dropped. If
	// empty, every source is trusted, which is safe only on an isolated network.
	Daemons []netip.Prefix
	// Load, if set, overrides the counted load in reports. It is called for every datagram sent
	// and must be fast.
	Load func(busySlots uint16, connections uint32) (uint16, uint32)
	// Trace, if set, is called for every valid datagram received, with the service address that
	// the caller used and whether the datagram was accepted. It must not block.
	Trace func(service netip.AddrPort, accepted bool)
}

// errDraining and errTooManyConnections make quic-go reject the connection with CONNECTION_REFUSED.
var errDraining = eris.New("the target is draining")

var errTooManyConnections = eris.New("the target has reached its maximum number of connections")

// Listener accepts QUIC connections forwarded by passtray. It is safe for concurrent use.
type Listener struct {
	packets         *PacketConn
	transport       *quic.Transport
	listener        *quic.Listener
	slots           chan struct{}
	openConnections sync.WaitGroup
	attempts        atomic.Uint64
}

// Listen listens on the target's address. 0-RTT is disabled: a request must not run before its
// connection is known to belong to this target only.
func Listen(address netip.AddrPort, config Config, tlsConfig *tls.Config, quicConfig *quic.Config) (*Listener, error) {
	packets, err := ListenPacket(address, config)
	if err != nil {
		return nil, err
	}
	listener := &Listener{packets: packets, slots: make(chan struct{}, max(1, config.Slots))}
	listener.transport = &quic.Transport{Conn: packets, ConnectionIDGenerator: &connectionIDGenerator{packets: packets}}
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
	if maxConnections := l.packets.config.MaximumConnections; maxConnections > 0 && l.packets.connections.Load() >= maxConnections {
		return nil, errTooManyConnections
	}
	return settings, nil
}

// Accept returns the next connection, which counts as open until its context is done.
func (l *Listener) Accept(ctx context.Context) (*quic.Conn, error) {
	connection, err := l.listener.Accept(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "accept")
	}
	l.packets.connections.Add(1)
	l.openConnections.Add(1)
	go func() {
		<-connection.Context().Done()
		l.packets.connections.Add(^uint32(0))
		l.openConnections.Done()
	}()
	return connection, nil
}

// AcquireSlot waits for a free slot and returns the function that releases it. The function must be
// called exactly once.
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

// Attempts returns the number of handshakes started by callers, including rejected and incomplete
// ones.
func (l *Listener) Attempts() uint64 { return l.attempts.Load() }

// Connections returns the number of open connections.
func (l *Listener) Connections() uint32 { return l.packets.connections.Load() }

// BusySlots returns the number of slots in use.
func (l *Listener) BusySlots() uint32 { return l.packets.busy.Load() }

// Drain rejects new connections from now on and reports so to the daemons with every packet. Open
// connections continue.
func (l *Listener) Drain() {
	l.packets.draining.Store(true)
}

// IsDraining reports whether Drain was called or an operator has drained the target, which daemons
// signal with every datagram. A server can poll it, then call WaitIdle and exit.
func (l *Listener) IsDraining() bool { return l.packets.isDraining() }

// WaitIdle waits until all accepted connections are closed.
func (l *Listener) WaitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		l.openConnections.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of received datagrams that were invalid or for another target.
func (l *Listener) Dropped() uint64 { return l.packets.dropped.Load() }

// ReloadKeyring reloads the keyring file. New connection IDs use its active key.
func (l *Listener) ReloadKeyring() error { return l.packets.reloadKeyring() }

// Close closes the listener and all connections immediately.
func (l *Listener) Close() error {
	_ = l.listener.Close()
	_ = l.transport.Close()
	return l.packets.Close()
}

// connectionIDGenerator generates routable connection IDs.
type connectionIDGenerator struct {
	packets *PacketConn
}

// GenerateConnectionID fails until a datagram has supplied the service and target numbers, as every
// first flight does.
func (g *connectionIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	route, known := g.packets.route()
	if !known {
		return quic.ConnectionID{}, eris.New("service and target numbers not known yet: no datagram received from a daemon")
	}
	id, err := g.packets.newConnectionID(route)
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *connectionIDGenerator) ConnectionIDLen() int { return connectionid.Length }
