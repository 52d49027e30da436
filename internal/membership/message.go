package membership

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/identity"
)

type messageKind uint8

const (
	kindPing messageKind = iota + 1
	kindAck
	kindPingRequest
	kindGossip
)

// message is the content of one datagram.
type message struct {
	Kind     messageKind       `cbor:"1,keyasint"`
	From     identity.Identity `cbor:"2,keyasint"`
	Sequence uint64            `cbor:"3,keyasint,omitempty"`
	// Target is the identity that a ping is for, or that a ping request is about. A ping to an
	// address whose identity is unknown has none.
	Target  identity.Identity `cbor:"4,keyasint,omitempty"`
	Updates []Member          `cbor:"5,keyasint,omitempty"`
	// Digest is the application's digest, opaque to this package.
	Digest []byte `cbor:"6,keyasint,omitempty"`
	// Broadcasts are application payloads, opaque to this package.
	Broadcasts [][]byte `cbor:"7,keyasint,omitempty"`
	// SameZonePayload is the application's payload for members of the sender's zone, opaque to this
	// package.
	SameZonePayload []byte `cbor:"8,keyasint,omitempty"`
	// Direct is an application payload that is not gossiped on, opaque to this package.
	Direct []byte `cbor:"9,keyasint,omitempty"`
}

func (m *message) encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		panic(eris.Wrap(err, "encode membership message"))
	}
	return encoded
}

// Datagram is an encoded message to send.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// DirectMessage is an application payload that a member sent directly, without gossip.
type DirectMessage struct {
	From    identity.Identity
	Payload []byte
}

// RemoteDigest is another member's application digest.
type RemoteDigest struct {
	From   identity.Identity
	Digest []byte
}

// Output is the result of one call.
type Output struct {
	Datagrams []Datagram
	// Changed reports a change of the set of live members.
	Changed bool
	// Digests and Broadcasts are the application data received.
	Digests    []RemoteDigest
	Broadcasts [][]byte
	// SameZonePayload holds the payloads received for members of the sender's zone.
	SameZonePayload [][]byte
	// Direct are the payloads received that were sent directly, without gossip.
	Direct []DirectMessage
	// Joined are senders that were unknown before; the full member list can be requested from them.
	Joined []identity.Identity
}
