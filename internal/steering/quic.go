package steering

import "encoding/binary"

// quicHeader is the part of a QUIC packet that is the same in all versions
// (RFC 8999, section 5).
type quicHeader struct {
	isLong  bool
	version uint32
	// destinationID aliases the packet.
	destinationID []byte
	// packetType is the long packet type of version 1 (RFC 9000, section 17.2).
	packetType uint8
}

const (
	longHeaderBit       = 0x80
	longHeaderMinimum   = 6
	versionOne          = 1
	packetTypeInitial   = 0
	packetTypeZeroRTT   = 1
	maximumIDLength     = 20 // RFC 9000, section 17.2
	minimumIDLength     = 8  // of a client's first ID; RFC 9000, section 7.2
	minimumInitialBytes = 1200
)

// parseQUIC reads the header. It reports false for a packet too short to have
// one; idLength is the length of the destination ID in a short header, which
// only its issuer knows.
func parseQUIC(packet []byte, idLength int, header *quicHeader) bool {
	*header = quicHeader{}
	if len(packet) == 0 {
		return false
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+idLength {
			return false
		}
		header.destinationID = packet[1 : 1+idLength]
		return true
	}
	if len(packet) < longHeaderMinimum {
		return false
	}
	header.isLong = true
	header.version = binary.BigEndian.Uint32(packet[1:])
	header.packetType = packet[0] >> 4 & 3
	length := int(packet[5])
	if len(packet) < longHeaderMinimum+length {
		return false
	}
	header.destinationID = packet[longHeaderMinimum : longHeaderMinimum+length]
	return true
}

// mayStartFlow reports whether a packet with an unroutable ID can belong to a
// client's first flight: an Initial, 0-RTT, or a version this daemon does not
// know, which the target will negotiate.
func (h *quicHeader) mayStartFlow() bool {
	if !h.isLong || h.version == 0 {
		return false
	}
	if len(h.destinationID) < minimumIDLength || len(h.destinationID) > maximumIDLength {
		return false
	}
	return h.version != versionOne || h.packetType == packetTypeInitial || h.packetType == packetTypeZeroRTT
}

// needsFullSize reports whether RFC 9000, section 14.1, demands that the
// datagram be at least minimumInitialBytes long.
func (h *quicHeader) needsFullSize() bool {
	return h.version != versionOne || h.packetType == packetTypeInitial
}
