package steering

import "encoding/binary"

// quicHeader holds the version-independent part of a QUIC header (RFC 8999, section 5) and the
// packet type.
type quicHeader struct {
	isLong  bool
	version uint32
	// destinationID aliases the packet.
	destinationID []byte
	// packetType is the long packet type of version 1 (RFC 9000, section 17.2).
	packetType uint8
}

const (
	longHeaderBit      = 0x80
	minLongHeaderBytes = 6
	versionOne         = 1
	packetTypeInitial  = 0
	packetTypeZeroRTT  = 1
	maxIDLength        = 20 // RFC 9000, section 17.2
	minIDLength        = 8  // of a client's first destination ID; RFC 9000, section 7.2
	minInitialBytes    = 1200
)

// parseQUIC parses the header and reports false if the packet is too short. idLength is the length
// of the destination ID in short headers, which they don't encode.
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
	if len(packet) < minLongHeaderBytes {
		return false
	}
	header.isLong = true
	header.version = binary.BigEndian.Uint32(packet[1:])
	header.packetType = packet[0] >> 4 & 3
	length := int(packet[5])
	if len(packet) < minLongHeaderBytes+length {
		return false
	}
	header.destinationID = packet[minLongHeaderBytes : minLongHeaderBytes+length]
	return true
}

// mayStartFlow reports whether a packet with an unroutable ID can belong to a client's first
// flight: an Initial, 0-RTT, or a packet of an unknown version, which the target will negotiate.
func (h *quicHeader) mayStartFlow() bool {
	if !h.isLong || h.version == 0 {
		return false
	}
	if len(h.destinationID) < minIDLength || len(h.destinationID) > maxIDLength {
		return false
	}
	return h.version != versionOne || h.packetType == packetTypeInitial || h.packetType == packetTypeZeroRTT
}

// needsFullSize reports whether the datagram must be at least minInitialBytes long (RFC 9000,
// section 14.1).
func (h *quicHeader) needsFullSize() bool {
	return h.version != versionOne || h.packetType == packetTypeInitial
}
