// Package forwarding moves datagrams between sockets in batches: it reads,
// lets a handler rewrite each datagram in place, and writes. It knows nothing
// of what the datagrams mean.
package forwarding

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"
)

// Socket reads and writes datagrams in batches.
type Socket interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// socketBufferBytes is asked of the kernel for each direction; it grants what
// its limits allow.
const socketBufferBytes = 4 << 20

// packetSocket joins a UDP socket with its batch calls.
type packetSocket struct {
	*net.UDPConn
	batch interface {
		ReadBatch(messages []ipv4.Message, flags int) (int, error)
		WriteBatch(messages []ipv4.Message, flags int) (int, error)
	}
}

func (s *packetSocket) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	return s.batch.ReadBatch(messages, flags)
}

func (s *packetSocket) WriteBatch(messages []ipv4.Message, flags int) (int, error) {
	return s.batch.WriteBatch(messages, flags)
}

// Listen opens a UDP socket. With shared set, several sockets may listen on one
// address and the kernel divides the flows among them (SO_REUSEPORT).
func Listen(address netip.AddrPort, shared bool) (Socket, error) {
	config := net.ListenConfig{}
	if shared {
		config.Control = setReusePort
	}
	connection, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	udp := connection.(*net.UDPConn)
	// Smaller buffers than asked for only cost packets under bursts.
	_ = udp.SetReadBuffer(socketBufferBytes)
	_ = udp.SetWriteBuffer(socketBufferBytes)
	socket := &packetSocket{UDPConn: udp}
	if address.Addr().Unmap().Is4() {
		socket.batch = ipv4.NewPacketConn(udp)
	} else {
		socket.batch = ipv6.NewPacketConn(udp)
	}
	return socket, nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failure
}

// AddressOf returns a socket address as a value.
func AddressOf(address net.Addr) netip.AddrPort {
	udp, isUDP := address.(*net.UDPAddr)
	if !isUDP {
		return netip.AddrPort{}
	}
	read := udp.AddrPort()
	return netip.AddrPortFrom(read.Addr().Unmap(), read.Port())
}
