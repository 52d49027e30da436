// Package admission limits new flows and refuses excess ones. A refusal is a genuine QUIC
// CONNECTION_REFUSED from the QUIC library, so that the caller can rely on it: the handshake did
// not complete and no target received a request.
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

// Refuser answers QUIC Initials with CONNECTION_REFUSED. It passes them to a quic-go listener that
// refuses every connection before a certificate is sent.
type Refuser struct {
	connection *virtualConnection
	transport  *quic.Transport
	listener   *quic.Listener
}

// SendFunc sends a refusal from the service to the caller, by way of the ingress daemon if it is valid.
type SendFunc func(service, caller, ingress netip.AddrPort, datagram []byte)

var errRefused = eris.New("new flows are refused")

// NewRefuser returns a refuser that sends its answers with send.
func NewRefuser(send SendFunc) (*Refuser, error) {
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

// Refuse refuses the flow of a first-flight datagram. When the queue is full, the datagram is
// dropped, and the caller retransmits.
func (r *Refuser) Refuse(service, caller, ingress netip.AddrPort, datagram []byte) {
	r.connection.deliver(returnPath{service: service, ingress: ingress}, caller, datagram)
}

// Close stops the refuser.
func (r *Refuser) Close() {
	_ = r.listener.Close()
	// The transport waits for its reader, which ends only when the connection is closed.
	_ = r.connection.Close()
	_ = r.transport.Close()
}

const (
	queueCapacity = 256
	// maxCallers bounds the callers whose return path is kept.
	maxCallers = 4096
)

// returnPath is the return path of a caller's refusal.
type returnPath struct {
	service netip.AddrPort
	ingress netip.AddrPort
}

type virtualDatagram struct {
	caller netip.AddrPort
	bytes  []byte
}

// virtualConnection is a net.PacketConn without a socket.
type virtualConnection struct {
	send        SendFunc
	incoming    chan virtualDatagram
	closed      chan struct{}
	once        sync.Once
	mutex       sync.Mutex
	returnPaths map[netip.AddrPort]returnPath
}

func newVirtualConnection(send SendFunc) *virtualConnection {
	return &virtualConnection{
		send:        send,
		incoming:    make(chan virtualDatagram, queueCapacity),
		closed:      make(chan struct{}),
		returnPaths: map[netip.AddrPort]returnPath{},
	}
}

func (c *virtualConnection) deliver(path returnPath, caller netip.AddrPort, datagram []byte) {
	c.mutex.Lock()
	if len(c.returnPaths) >= maxCallers {
		clear(c.returnPaths)
	}
	c.returnPaths[caller] = path
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
	path, known := c.returnPaths[caller]
	c.mutex.Unlock()
	if known {
		c.send(path.service, caller, path.ingress, append([]byte(nil), datagram...))
	}
	return len(datagram), nil
}

func (c *virtualConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns an address reserved for documentation, as there is no socket.
func (c *virtualConnection) LocalAddr() net.Addr {
	return &net.UDPAddr{IP: net.IPv4(192, 0, 2, 0), Port: 1}
}

// SetReadBuffer does nothing.
func (c *virtualConnection) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing.
func (c *virtualConnection) SetWriteBuffer(int) error { return nil }

// SetDeadline does nothing; reads end with Close.
func (c *virtualConnection) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *virtualConnection) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *virtualConnection) SetWriteDeadline(time.Time) error { return nil }
