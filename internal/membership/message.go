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

// message is one datagram.
type message struct {
	Kind     messageKind       `cbor:"1,keyasint"`
	From     identity.Identity `cbor:"2,keyasint"`
	Sequence uint64            `cbor:"3,keyasint,omitempty"`
	// Target is the identity meant by a ping or to be pinged on request. A ping
	// to a seed whose identity is unknown has only the address.
	Target identity.Identity `cbor:"4,keyasint,omitempty"`
	// Updates are news of members.
	Updates []Member `cbor:"5,keyasint,omitempty"`
	// Digest is the sender's applied configuration, opaque here.
	Digest []byte `cbor:"6,keyasint,omitempty"`
	// Broadcasts are the application's news, opaque here.
	Broadcasts [][]byte `cbor:"7,keyasint,omitempty"`
	// Near is the application's message to members of the sender's zone, opaque here.
	Near []byte `cbor:"8,keyasint,omitempty"`
	// Direct is the application's message to this member alone, opaque here.
	Direct []byte `cbor:"9,keyasint,omitempty"`
}

func (m *message) encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		panic(eris.Wrap(err, "a membership message always has a CBOR form"))
	}
	return encoded
}

// Datagram is bytes to send.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// DirectMessage is the application's, from one member.
type DirectMessage struct {
	From    identity.Identity
	Payload []byte
}

// RemoteDigest is the application's digest of another member.
type RemoteDigest struct {
	From   identity.Identity
	Digest []byte
}

// Output is what one call has brought forth.
type Output struct {
	Datagrams []Datagram
	// Changed reports that the set of live members is another one.
	Changed bool
	// Digests and Broadcasts are the application's, received.
	Digests    []RemoteDigest
	Broadcasts [][]byte
	// Near are the application's messages from members of this zone, received.
	Near [][]byte
	// Direct are the application's messages to this member alone, received.
	Direct []DirectMessage
	// Joined names a member through which the whole list can be fetched.
	Joined []identity.Identity
}
