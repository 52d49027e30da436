package backend

import (
	"crypto/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/encapsulation"
)

// PacketConn is a net.PacketConn whose remote addresses are those of the callers. On the wire,
// datagrams are exchanged with daemons.
type PacketConn struct {
	net.PacketConn
	config        Config
	qualifiedName string
	keyring       atomic.Pointer[connectionid.Keyring]
	paths         *returnPaths

	mutex sync.Mutex
	// revision is the highest configuration revision received, drainedByOperator whether operators
	// drain this target in that revision.
	revision          uint64
	drainedByOperator bool
	// routes are the numbers of the service and this target, the newest last. There are several
	// only after the fleet was recreated.
	routes []connectionid.Route

	busy        atomic.Uint32
	connections atomic.Uint32
	draining    atomic.Bool
	dropped     atomic.Uint64
}

const (
	maxRoutes         = 4
	maxDatagramBytes  = 2048
	socketBufferBytes = 2 << 20
)

// ListenPacket opens a target's packet connection, for servers that create their own quic.Transport
// or use plain UDP.
func ListenPacket(address netip.AddrPort, config Config) (*PacketConn, error) {
	if config.Service == "" || config.Target == "" {
		return nil, eris.Errorf("service %q, target %q: both are required", config.Service, config.Target)
	}
	connection := &PacketConn{config: config, qualifiedName: config.Service + "/" + config.Target, paths: newReturnPaths()}
	if config.KeyringPath != "" {
		if err := connection.reloadKeyring(); err != nil {
			return nil, err
		}
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	// Errors are ignored: smaller buffers only drop packets during bursts.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	connection.PacketConn = socket
	return connection, nil
}

// SetReadBuffer does nothing: ListenPacket has set the socket's buffer sizes.
func (c *PacketConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, like SetReadBuffer.
func (c *PacketConn) SetWriteBuffer(int) error { return nil }

func (c *PacketConn) reloadKeyring() error {
	keyring, err := connectionid.LoadKeyring(c.config.KeyringPath)
	if err != nil {
		return err
	}
	c.keyring.Store(keyring)
	return nil
}

func (c *PacketConn) route() (connectionid.Route, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.routes) == 0 {
		return connectionid.Route{}, false
	}
	return c.routes[len(c.routes)-1], true
}

func (c *PacketConn) newConnectionID(route connectionid.Route) ([connectionid.Length]byte, error) {
	var nonce [connectionid.NonceSize]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return [connectionid.Length]byte{}, eris.Wrap(err, "nonce")
	}
	return c.keyring.Load().Encode(route, nonce), nil
}

// ReadFrom returns the next payload for this target and the address of its caller. Other datagrams
// are counted and dropped.
func (c *PacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	var datagram [maxDatagramBytes]byte
	var header encapsulation.Header
	for {
		length, from, err := c.PacketConn.ReadFrom(datagram[:])
		if err != nil {
			return 0, nil, err
		}
		source := from.(*net.UDPAddr).AddrPort()
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		offset, err := encapsulation.Parse(datagram[:length], &header)
		accepted := err == nil && c.isForThisTarget(source, &header)
		if err == nil && c.config.Trace != nil {
			c.config.Trace(header.Service, accepted)
		}
		if !accepted {
			c.dropped.Add(1)
			continue
		}
		c.recordDrain(&header)
		now := time.Now()
		c.paths.recordActivity(now, source)
		if offset == length {
			c.answerProbe(source, &header)
			continue
		}
		c.paths.setPath(now, header.Caller, returnPath{daemon: source, ingress: header.Ingress, service: header.Service})
		n := copy(buffer, datagram[offset:length])
		return n, net.UDPAddrFromAddrPort(header.Caller), nil
	}
}

// isForThisTarget reports whether a datagram is for this target: it carries the names of this target,
// from which the target learns its numbers, or no names and numbers learned before.
func (c *PacketConn) isForThisTarget(source netip.AddrPort, header *encapsulation.Header) bool {
	if header.Kind != encapsulation.KindToTarget || !c.isDaemon(source.Addr()) {
		return false
	}
	route := connectionid.Route{Service: header.ServiceNumber, Target: header.TargetNumber}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, known := range c.routes {
		if known == route {
			return len(header.Names) == 0 || string(header.Names) == c.qualifiedName
		}
	}
	if string(header.Names) != c.qualifiedName {
		return false
	}
	c.routes = append(c.routes, route)
	c.revision = 0
	c.drainedByOperator = false
	if excess := len(c.routes) - maxRoutes; excess > 0 {
		c.routes = c.routes[excess:]
	}
	return true
}

// recordDrain records whether operators drain this target, unless the datagram carries an older
// revision or numbers other than the newest. Revisions of a recreated fleet start over, so
// isForThisTarget resets the revision with new numbers.
func (c *PacketConn) recordDrain(header *encapsulation.Header) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := c.routes[len(c.routes)-1]
	if newest.Target != header.TargetNumber || header.Revision < c.revision {
		return
	}
	c.revision = header.Revision
	c.drainedByOperator = header.Draining
}

// isDraining reports whether the server itself or operators drain this target.
func (c *PacketConn) isDraining() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.draining.Load() || c.drainedByOperator
}

func (c *PacketConn) isDaemon(address netip.Addr) bool {
	if len(c.config.Daemons) == 0 {
		return true
	}
	for _, prefix := range c.config.Daemons {
		if prefix.Contains(address) {
			return true
		}
	}
	return false
}

// answerProbe answers a probe, a datagram without payload, with a report without payload.
func (c *PacketConn) answerProbe(daemon netip.AddrPort, header *encapsulation.Header) {
	reply := c.replyHeader(header.Caller, header.Service)
	_, _ = c.PacketConn.WriteTo(encapsulation.Append(nil, &reply), net.UDPAddrFromAddrPort(daemon))
}

func (c *PacketConn) replyHeader(caller, service netip.AddrPort) encapsulation.Header {
	route, _ := c.route()
	state := encapsulation.TargetAccepting
	if c.isDraining() {
		state = encapsulation.TargetDraining
	}
	busy, connections := uint16(c.busy.Load()), c.connections.Load()
	if c.config.Load != nil {
		busy, connections = c.config.Load(busy, connections)
	}
	return encapsulation.Header{
		Kind: encapsulation.KindFromTarget, Caller: caller, Service: service,
		ServiceNumber: route.Service, TargetNumber: route.Target,
		Report: encapsulation.Report{
			State: state, BusySlots: busy, Slots: c.config.Slots,
			Connections: connections, MaximumConnections: c.config.MaximumConnections,
		},
	}
}

// WriteTo sends a payload and this target's report to a caller through a daemon. It fails for a caller
// from which nothing was received.
func (c *PacketConn) WriteTo(payload []byte, to net.Addr) (int, error) {
	address := to.(*net.UDPAddr).AddrPort()
	caller := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	path, known := c.paths.choose(time.Now(), caller)
	if !known {
		return 0, eris.Errorf("no return path to caller %s", caller)
	}
	header := c.replyHeader(caller, path.service)
	header.Ingress = path.ingress
	datagram := encapsulation.Append(make([]byte, 0, encapsulation.MaxSize+len(payload)), &header)
	datagram = append(datagram, payload...)
	if _, err := c.PacketConn.WriteTo(datagram, net.UDPAddrFromAddrPort(path.daemon)); err != nil {
		// Treated as a lost packet. The retransmission uses another daemon if one is active.
		c.paths.removeDaemon(path.daemon)
	}
	return len(payload), nil
}
