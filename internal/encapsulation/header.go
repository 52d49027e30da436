// Package encapsulation implements the header of every datagram between fabric, daemons and
// targets: PROXY protocol version 2 with the DGRAM transport and custom TLVs. In both directions
// the source is the caller's address and the destination the service's.
//
// Append and Parse use caller-owned memory and do not allocate, unlike the go-proxyproto library;
// the tests check them against that library in both directions.
package encapsulation

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Kind is the kind of a datagram: its sender and receiver.
type Kind uint8

// The kinds of datagrams. KindFabric has no route TLV: the fabric sends and receives plain PROXY
// protocol headers.
const (
	KindFabric Kind = iota
	// KindToTarget is sent by a daemon to a target.
	KindToTarget
	// KindFromTarget is sent by a target to a daemon.
	KindFromTarget
	// KindToOwner forwards a first flight from the daemon that received it to the daemon that owns
	// the flow.
	KindToOwner
	// KindToIngress carries a reply for the caller from an owner to the daemon that the caller
	// addressed directly.
	KindToIngress
	// KindOwnerAcknowledgement acknowledges a KindToOwner datagram; it has no payload.
	KindOwnerAcknowledgement
	// KindReplicatePin sends the target of a plain UDP flow to another daemon; it has no payload.
	KindReplicatePin
)

// TargetState is the state of a target in its report.
type TargetState uint8

// The states that a target reports.
const (
	TargetAccepting TargetState = 1
	TargetDraining  TargetState = 2
)

// Report is a target's report of its load, sent with every reply.
type Report struct {
	State TargetState
	// BusySlots is the number of requests in progress, Slots the maximum.
	BusySlots uint16
	Slots     uint16
	// Connections is the number of open connections, MaximumConnections the maximum.
	Connections        uint32
	MaximumConnections uint32
}

// Header is the decoded header of one datagram.
type Header struct {
	Kind Kind
	// Caller and Service are the flow's outer addresses.
	Caller  netip.AddrPort
	Service netip.AddrPort
	// ServiceNumber, TargetNumber and Revision form the route (not KindFabric). A higher Revision
	// is a newer configuration.
	ServiceNumber uint32
	TargetNumber  uint32
	Revision      uint64
	// Draining tells the target that operators drain it (KindToTarget). The target learns this from
	// any informed daemon and forwards it in its reports, which also reach daemons cut off from the
	// configuration.
	Draining bool
	// Ingress is the daemon that must return replies, if valid.
	Ingress netip.AddrPort
	// Report is the target's report (KindFromTarget).
	Report Report
	// Names is "service/target", sent to targets with first flights, plain UDP packets and probes.
	// It aliases the datagram.
	Names []byte
}

const (
	// MaxSize is the maximum size in bytes of a header that Append writes.
	MaxSize = fixedSize + addressesSizeIPv6 +
		tlvHeaderSize + routeSize +
		tlvHeaderSize + ingressSize +
		tlvHeaderSize + reportSize +
		tlvHeaderSize + MaxNamesSize
	// MaxNamesSize is the maximum size of Names: two names of 63 bytes and a slash.
	MaxNamesSize = 127

	fixedSize         = 16
	addressesSizeIPv4 = 12
	addressesSizeIPv6 = 36
	tlvHeaderSize     = 3
	routeSize         = 18
	ingressSize       = 18
	reportSize        = 13

	versionAndCommand = 0x21 // version 2, command PROXY
	transportUDPv4    = 0x12
	transportUDPv6    = 0x22

	// Custom TLV types, in the range that the protocol reserves for applications.
	tlvRoute   = 0xE0
	tlvIngress = 0xE1
	tlvReport  = 0xE2
	tlvNames   = 0xE3
)

var signature = [12]byte{0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A}

// Errors of Parse. They are preallocated, so that a flood of invalid datagrams does not allocate.
var (
	ErrTruncated  = eris.New("truncated header")
	ErrSignature  = eris.New("not a PROXY protocol version 2 header")
	ErrTransport  = eris.New("transport is not datagram over IPv4 or IPv6")
	ErrInvalidTLV = eris.New("invalid length or content of a TLV")
)

// Append appends the header to destination. The addresses must be valid and, after unmapping, of
// one family.
func Append(destination []byte, header *Header) []byte {
	start := len(destination)
	destination = append(destination, signature[:]...)
	destination = appendAddresses(destination, header.Caller, header.Service)
	if header.Kind != KindFabric {
		destination = appendTLVHeader(destination, tlvRoute, routeSize)
		destination = append(destination, byte(header.Kind))
		destination = binary.BigEndian.AppendUint32(destination, header.ServiceNumber)
		destination = binary.BigEndian.AppendUint32(destination, header.TargetNumber)
		destination = binary.BigEndian.AppendUint64(destination, header.Revision)
		destination = append(destination, flagsOf(header))
	}
	if header.Ingress.IsValid() {
		address := header.Ingress.Addr().As16()
		destination = appendTLVHeader(destination, tlvIngress, ingressSize)
		destination = append(destination, address[:]...)
		destination = binary.BigEndian.AppendUint16(destination, header.Ingress.Port())
	}
	if header.Kind == KindFromTarget {
		destination = appendReport(destination, &header.Report)
	}
	if len(header.Names) > 0 {
		destination = appendTLVHeader(destination, tlvNames, len(header.Names))
		destination = append(destination, header.Names...)
	}
	binary.BigEndian.PutUint16(destination[start+14:], uint16(len(destination)-start-fixedSize))
	return destination
}

// flagDraining is the bit for Draining in the last byte of the route TLV.
const flagDraining = 1

func flagsOf(header *Header) byte {
	if header.Draining {
		return flagDraining
	}
	return 0
}

func appendAddresses(destination []byte, caller, service netip.AddrPort) []byte {
	callerAddress, serviceAddress := caller.Addr().Unmap(), service.Addr().Unmap()
	if callerAddress.Is4() && serviceAddress.Is4() {
		destination = append(destination, versionAndCommand, transportUDPv4, 0, 0)
		source, target := callerAddress.As4(), serviceAddress.As4()
		destination = append(destination, source[:]...)
		destination = append(destination, target[:]...)
	} else {
		destination = append(destination, versionAndCommand, transportUDPv6, 0, 0)
		source, target := callerAddress.As16(), serviceAddress.As16()
		destination = append(destination, source[:]...)
		destination = append(destination, target[:]...)
	}
	destination = binary.BigEndian.AppendUint16(destination, caller.Port())
	return binary.BigEndian.AppendUint16(destination, service.Port())
}

func appendTLVHeader(destination []byte, valueType byte, length int) []byte {
	return append(destination, valueType, byte(length>>8), byte(length))
}

func appendReport(destination []byte, report *Report) []byte {
	destination = appendTLVHeader(destination, tlvReport, reportSize)
	destination = append(destination, byte(report.State))
	destination = binary.BigEndian.AppendUint16(destination, report.BusySlots)
	destination = binary.BigEndian.AppendUint16(destination, report.Slots)
	destination = binary.BigEndian.AppendUint32(destination, report.Connections)
	return binary.BigEndian.AppendUint32(destination, report.MaximumConnections)
}

// Parse decodes the header of a datagram and returns its size in bytes. The rest of the datagram is
// the payload.
func Parse(datagram []byte, header *Header) (int, error) {
	*header = Header{}
	if len(datagram) < fixedSize {
		return 0, ErrTruncated
	}
	if [12]byte(datagram[:12]) != signature || datagram[12] != versionAndCommand {
		return 0, ErrSignature
	}
	length := fixedSize + int(binary.BigEndian.Uint16(datagram[14:]))
	if len(datagram) < length {
		return 0, ErrTruncated
	}
	values := datagram[fixedSize:length]
	switch {
	case datagram[13] == transportUDPv4 && len(values) >= addressesSizeIPv4:
		header.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte(values[0:4])), binary.BigEndian.Uint16(values[8:]))
		header.Service = netip.AddrPortFrom(netip.AddrFrom4([4]byte(values[4:8])), binary.BigEndian.Uint16(values[10:]))
		values = values[addressesSizeIPv4:]
	case datagram[13] == transportUDPv6 && len(values) >= addressesSizeIPv6:
		header.Caller = netip.AddrPortFrom(netip.AddrFrom16([16]byte(values[0:16])).Unmap(), binary.BigEndian.Uint16(values[32:]))
		header.Service = netip.AddrPortFrom(netip.AddrFrom16([16]byte(values[16:32])).Unmap(), binary.BigEndian.Uint16(values[34:]))
		values = values[addressesSizeIPv6:]
	case datagram[13] == transportUDPv4 || datagram[13] == transportUDPv6:
		return 0, ErrTruncated
	default:
		return 0, ErrTransport
	}
	if err := parseTLVs(values, header); err != nil {
		return 0, err
	}
	return length, nil
}

func parseTLVs(values []byte, header *Header) error {
	for len(values) > 0 {
		if len(values) < tlvHeaderSize {
			return ErrTruncated
		}
		size := int(binary.BigEndian.Uint16(values[1:]))
		if len(values) < tlvHeaderSize+size {
			return ErrTruncated
		}
		value := values[tlvHeaderSize : tlvHeaderSize+size]
		if err := parseTLV(values[0], value, header); err != nil {
			return err
		}
		values = values[tlvHeaderSize+size:]
	}
	if (header.Kind == KindFromTarget) != (header.Report.State != 0) {
		return ErrInvalidTLV
	}
	return nil
}

func parseTLV(valueType byte, value []byte, header *Header) error {
	switch valueType {
	case tlvRoute:
		if len(value) != routeSize || value[0] < byte(KindToTarget) || value[0] > byte(KindReplicatePin) {
			return ErrInvalidTLV
		}
		header.Kind = Kind(value[0])
		header.ServiceNumber = binary.BigEndian.Uint32(value[1:])
		header.TargetNumber = binary.BigEndian.Uint32(value[5:])
		header.Revision = binary.BigEndian.Uint64(value[9:])
		header.Draining = value[17]&flagDraining != 0
	case tlvIngress:
		if len(value) != ingressSize {
			return ErrInvalidTLV
		}
		address := netip.AddrFrom16([16]byte(value[:16])).Unmap()
		header.Ingress = netip.AddrPortFrom(address, binary.BigEndian.Uint16(value[16:]))
	case tlvReport:
		if len(value) != reportSize || value[0] < byte(TargetAccepting) || value[0] > byte(TargetDraining) {
			return ErrInvalidTLV
		}
		header.Report.State = TargetState(value[0])
		header.Report.BusySlots = binary.BigEndian.Uint16(value[1:])
		header.Report.Slots = binary.BigEndian.Uint16(value[3:])
		header.Report.Connections = binary.BigEndian.Uint32(value[5:])
		header.Report.MaximumConnections = binary.BigEndian.Uint32(value[9:])
	case tlvNames:
		if len(value) == 0 || len(value) > MaxNamesSize {
			return ErrInvalidTLV
		}
		header.Names = value
	}
	return nil
}
