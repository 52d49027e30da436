// Package forwarding implements batched UDP forwarding: workers read datagrams in batches, a handler parses and
// rewrites each one in place, and the results are written in batches.
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

// socketBufferBytes is the size requested for each kernel socket buffer. The kernel caps it at its own limits.
const socketBufferBytes = 4 << 20

// packetSocket is a UDP socket with the batch calls of its address family.
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

// Listen opens a UDP socket. If shared is set, several sockets may listen on the address, and the kernel distributes
// flows among them (SO_REUSEPORT).
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
	// A smaller buffer than requested is not an error; it only loses more packets during bursts.
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
	var sockoptErr error
	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// AddressOf converts a UDP address to a netip.AddrPort with an unmapped IP. Other addresses yield the zero value.
func AddressOf(address net.Addr) netip.AddrPort {
	udp, isUDP := address.(*net.UDPAddr)
	if !isUDP {
		return netip.AddrPort{}
	}
	addrPort := udp.AddrPort()
	return netip.AddrPortFrom(addrPort.Addr().Unmap(), addrPort.Port())
}
