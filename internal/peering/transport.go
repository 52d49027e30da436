// Package peering is the transport of control messages between daemons: CBOR over mutual TLS for
// streams, and UDP datagrams encrypted with the fleet key for gossip. Both are lossy, which the control
// core tolerates.
package peering

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/seal"
)

const (
	// queueLength bounds the messages queued per peer; more are dropped.
	queueLength  = 256
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// idleTimeout closes unused connections.
	idleTimeout = time.Minute
	// maxDatagramBytes is the receive buffer of datagrams in bytes.
	maxDatagramBytes = 2048
	protocolName     = "passtray-peer/1"
)

// Handler handles received messages. It is called concurrently.
type Handler interface {
	HandleDatagram(from netip.AddrPort, datagram []byte)
	HandleStream(message *control.PeerMessage)
}

// Traffic holds counters of control traffic. Datagram bytes include the encryption overhead; stream
// bytes do not include that of TLS. Refused counts datagrams that cannot be decrypted and streams that
// fail authentication.
type Traffic struct {
	DatagramsSent     atomic.Uint64
	DatagramBytesSent atomic.Uint64
	StreamBytesSent   atomic.Uint64
	Refused           atomic.Uint64
}

type Config struct {
	// Address is the control address, for both UDP and TCP.
	Address     netip.AddrPort
	Credentials *pki.Store
	Sealer      *seal.Sealer
	Handler     Handler
	Logger      logr.Logger
	// Reachable, if set, reports whether messages to a peer are sent; the lab simulates partitions with
	// it.
	Reachable func(peer netip.AddrPort) bool
}

// Transport is one daemon's control transport.
type Transport struct {
	config   Config
	sealer   atomic.Pointer[seal.Sealer]
	socket   *net.UDPConn
	listener net.Listener
	traffic  Traffic

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	mutex      sync.Mutex
	peers      map[netip.AddrPort]chan control.PeerMessage
}

// Listen opens the sockets. The transport receives once Start is called.
func Listen(config Config) (*Transport, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, eris.Wrapf(err, "control.listen %s", config.Address)
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrapf(err, "control.listen %s", config.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	transport := &Transport{
		config: config, socket: socket, ctx: ctx, cancel: cancel,
		listener: tls.NewListener(listener, config.Credentials.Server([]string{protocolName}, pki.RoleDaemon)),
		peers:    map[netip.AddrPort]chan control.PeerMessage{},
	}
	transport.sealer.Store(config.Sealer)
	return transport, nil
}

func (t *Transport) Start() {
	t.goroutines.Add(2)
	go t.readDatagrams()
	go t.acceptStreams()
}

func (t *Transport) Traffic() *Traffic { return &t.traffic }

// SetSealer replaces the fleet keys for datagrams.
func (t *Transport) SetSealer(sealer *seal.Sealer) { t.sealer.Store(sealer) }

// Close closes the sockets and connections and waits for the goroutines.
func (t *Transport) Close() {
	t.cancel()
	_ = t.socket.Close()
	_ = t.listener.Close()
	t.goroutines.Wait()
}

func (t *Transport) isReachable(peer netip.AddrPort) bool {
	return t.config.Reachable == nil || t.config.Reachable(peer)
}

// SendDatagram encrypts and sends one datagram.
func (t *Transport) SendDatagram(to netip.AddrPort, datagram []byte) {
	if !t.isReachable(to) {
		return
	}
	sealed := t.sealer.Load().Seal(datagram)
	t.traffic.DatagramsSent.Add(1)
	t.traffic.DatagramBytesSent.Add(uint64(len(sealed)))
	// Treat an error as a lost datagram; the protocols above retransmit.
	_, _ = t.socket.WriteToUDPAddrPort(sealed, to)
}

func (t *Transport) readDatagrams() {
	defer t.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			continue
		}
		plain, err := t.sealer.Load().Open(buffer[:length])
		if err != nil {
			t.traffic.Refused.Add(1)
			continue
		}
		t.config.Handler.HandleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), plain)
	}
}

// SendStream queues one message to a peer, or drops it if the queue is full.
func (t *Transport) SendStream(to netip.AddrPort, message control.PeerMessage) {
	if !t.isReachable(to) || t.ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	queue, found := t.peers[to]
	if !found {
		queue = make(chan control.PeerMessage, queueLength)
		t.peers[to] = queue
		t.goroutines.Add(1)
		go t.runPeer(to, queue)
	}
	select {
	case queue <- message:
	default:
		// The peer does not keep up. The protocols above retransmit.
	}
}

// runPeer connects to a peer and sends its queued messages until the connection is idle or fails. The
// next message to the peer starts a new one.
func (t *Transport) runPeer(to netip.AddrPort, queue chan control.PeerMessage) {
	defer t.goroutines.Done()
	defer func() {
		t.mutex.Lock()
		delete(t.peers, to)
		t.mutex.Unlock()
	}()
	connection, err := t.dial(to)
	if err != nil {
		t.config.Logger.V(1).Info("failed to connect to peer", "peer", to.String(), "reason", err.Error())
		return
	}
	defer func() { _ = connection.Close() }()
	encoder := cbor.NewEncoder(&countingWriter{connection: connection, traffic: &t.traffic})
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case message := <-queue:
			if !t.isReachable(to) {
				return
			}
			_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := encoder.Encode(message); err != nil {
				return
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) dial(to netip.AddrPort) (*tls.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	config := t.config.Credentials.Client(to.Addr().String(), pki.RoleDaemon)
	config.NextProtos = []string{protocolName}
	connection := tls.Client(raw, config)
	if err := connection.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return connection, nil
}

func (t *Transport) acceptStreams() {
	defer t.goroutines.Done()
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		t.goroutines.Add(1)
		go t.readStream(connection.(*tls.Conn))
	}
}

func (t *Transport) readStream(connection *tls.Conn) {
	defer t.goroutines.Done()
	stop := context.AfterFunc(t.ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	if err := connection.HandshakeContext(ctx); err != nil {
		t.traffic.Refused.Add(1)
		return
	}
	decoder := cbor.NewDecoder(connection)
	for {
		_ = connection.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		var message control.PeerMessage
		if err := decoder.Decode(&message); err != nil {
			return
		}
		if !certificateHasAddress(connection, message.From.Address.Addr()) {
			t.traffic.Refused.Add(1)
			return
		}
		t.config.Handler.HandleStream(&message)
	}
}

// certificateHasAddress reports whether the peer's certificate has an address among its IP addresses.
func certificateHasAddress(connection *tls.Conn, address netip.Addr) bool {
	certificate := connection.ConnectionState().PeerCertificates[0]
	return slices.ContainsFunc(certificate.IPAddresses, func(ip net.IP) bool {
		certified, valid := netip.AddrFromSlice(ip)
		return valid && certified.Unmap() == address.Unmap()
	})
}

type countingWriter struct {
	connection net.Conn
	traffic    *Traffic
}

func (w *countingWriter) Write(content []byte) (int, error) {
	w.traffic.StreamBytesSent.Add(uint64(len(content)))
	return w.connection.Write(content)
}
