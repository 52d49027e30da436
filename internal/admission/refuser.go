// Package admission limits new flows and refuses what is too much. A refusal is
// a true QUIC CONNECTION_REFUSED made by the library, so that a caller told "not
// run" can rely on it: its handshake never ended, and no target saw a request.
package admission

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Refuser answers QUIC Initials with CONNECTION_REFUSED. It feeds them to a
// listener of the library that turns everything away before any certificate is
// sent.
type Refuser struct {
	connection *virtualConnection
	transport  *quic.Transport
	listener   *quic.Listener
}

// Send carries a refusal back to a caller, from the service it called, by way
// of the ingress daemon if one is given.
type Send func(service, caller, ingress netip.AddrPort, datagram []byte)

var errRefused = eris.New("the service takes no new flow")

// NewRefuser makes a refuser whose answers leave through send.
func NewRefuser(send Send) (*Refuser, error) {
	connection := newVirtualConnection(send)
	transport := &quic.Transport{Conn: connection}
	config := &quic.Config{GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) { return nil, errRefused }}
	listener, err := transport.Listen(&tls.Config{NextProtos: []string{"none"}, MinVersion: tls.VersionTLS13}, config)
	if err != nil {
		return nil, eris.Wrap(err, "refusing listener")
	}
	go drain(listener)
	return &Refuser{connection: connection, transport: transport, listener: listener}, nil
}

func drain(listener *quic.Listener) {
	for {
		if _, err := listener.Accept(context.Background()); err != nil {
			return
		}
	}
}

// Refuse takes a first-flight datagram. When refusals come faster than they can
// be made, the rest is dropped, and the caller asks again.
func (r *Refuser) Refuse(service, caller, ingress netip.AddrPort, datagram []byte) {
	r.connection.deliver(route{service: service, ingress: ingress}, caller, datagram)
}

// Close ends the refuser.
func (r *Refuser) Close() {
	_ = r.listener.Close()
	// The transport waits for its reader, which only the connection can wake.
	_ = r.connection.Close()
	_ = r.transport.Close()
}

const (
	refusalQueue = 256
	// rememberCallers bounds how many callers' services are remembered until
	// their refusal is sent.
	rememberCallers = 4096
)

// route is how a caller's refusal finds back to it.
type route struct {
	service netip.AddrPort
	ingress netip.AddrPort
}

type virtualDatagram struct {
	caller netip.AddrPort
	bytes  []byte
}

// virtualConnection is a net.PacketConn without a socket.
type virtualConnection struct {
	send     Send
	incoming chan virtualDatagram
	closed   chan struct{}
	once     sync.Once
	mutex    sync.Mutex
	routes   map[netip.AddrPort]route
}

func newVirtualConnection(send Send) *virtualConnection {
	return &virtualConnection{
		send:     send,
		incoming: make(chan virtualDatagram, refusalQueue),
		closed:   make(chan struct{}),
		routes:   map[netip.AddrPort]route{},
	}
}

func (c *virtualConnection) deliver(way route, caller netip.AddrPort, datagram []byte) {
	c.mutex.Lock()
	if len(c.routes) >= rememberCallers {
		clear(c.routes)
	}
	c.routes[caller] = way
	c.mutex.Unlock()
	select {
	case c.incoming <- virtualDatagram{caller: caller, bytes: append([]byte(nil), datagram...)}:
	default:
	}
}

func (c *virtualConnection) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-c.incoming:
		return copy(buffer, datagram.bytes), net.UDPAddrFromAddrPort(datagram.caller), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *virtualConnection) WriteTo(datagram []byte, to net.Addr) (int, error) {
	udp, isUDP := to.(*net.UDPAddr)
	if !isUDP {
		return 0, eris.Errorf("address %v is not UDP", to)
	}
	caller := udp.AddrPort()
	c.mutex.Lock()
	way, known := c.routes[caller]
	c.mutex.Unlock()
	if known {
		c.send(way.service, caller, way.ingress, append([]byte(nil), datagram...))
	}
	return len(datagram), nil
}

func (c *virtualConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr is a documentation address: nothing listens there.
func (c *virtualConnection) LocalAddr() net.Addr {
	return &net.UDPAddr{IP: net.IPv4(192, 0, 2, 0), Port: 1}
}

// SetReadBuffer and SetWriteBuffer have nothing to do.
func (c *virtualConnection) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing.
func (c *virtualConnection) SetWriteBuffer(int) error { return nil }

// SetDeadline and its kin have nothing to do: reads end with Close.
func (c *virtualConnection) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *virtualConnection) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *virtualConnection) SetWriteDeadline(time.Time) error { return nil }
