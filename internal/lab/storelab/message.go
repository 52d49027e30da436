package storelab

import (
	"encoding/binary"
	"net"
	"net/netip"
)

// A request consists of its number and a byte with the target's processing time, a response of
// the request's number and the target's identifier.
const (
	requestBytes = 9
	answerBytes  = 16
	// datagramBytes is larger than any datagram of a run.
	datagramBytes = 2048
)

type requestMessage struct {
	number uint64
	// work is the processing time in milliseconds.
	work byte
}

func (r requestMessage) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, r.number), r.work)
}

func decodeRequest(payload []byte) (requestMessage, bool) {
	if len(payload) != requestBytes {
		return requestMessage{}, false
	}
	return requestMessage{number: binary.BigEndian.Uint64(payload), work: payload[8]}, true
}

type answerMessage struct{ number, target uint64 }

func (a answerMessage) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, a.number), a.target)
}

func decodeAnswer(payload []byte) (answerMessage, bool) {
	if len(payload) != answerBytes {
		return answerMessage{}, false
	}
	return answerMessage{number: binary.BigEndian.Uint64(payload), target: binary.BigEndian.Uint64(payload[8:])}, true
}

// receive calls handle with each datagram until the socket is closed.
func receive(socket *net.UDPConn, handle func(from netip.AddrPort, datagram []byte)) {
	buffer := make([]byte, datagramBytes)
	for {
		length, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buffer[:length]...))
	}
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}
