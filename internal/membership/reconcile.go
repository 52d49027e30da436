package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fingerprintSize is in bytes, so that the fingerprints of all members take a thirtieth of the
// member list. Two records collide with a probability of 2^-32; a difference hidden
// by a collision is repaired by probes.
const fingerprintSize = 4

// fingerprint hashes the parts of a record that may differ between members: identity, incarnation and
// status.
func (m *Member) fingerprint() [fingerprintSize]byte {
	var buffer [18 + 8 + 8 + 1]byte
	address := m.Identity.Address.Addr().As16()
	copy(buffer[:], address[:])
	binary.BigEndian.PutUint16(buffer[16:], m.Identity.Address.Port())
	binary.BigEndian.PutUint64(buffer[18:], m.Identity.Start)
	binary.BigEndian.PutUint64(buffer[26:], m.Incarnation)
	buffer[34] = byte(m.Status)
	var print [fingerprintSize]byte
	binary.BigEndian.PutUint32(print[:], uint32(xxhash.Sum64(buffer[:])))
	return print
}

// Fingerprints returns the concatenated fingerprints of all known members, in no particular order.
func (g *Group) Fingerprints() []byte {
	packed := make([]byte, 0, (len(g.members)+1)*fingerprintSize)
	print := g.self.fingerprint()
	packed = append(packed, print[:]...)
	for _, state := range g.members {
		print = state.fingerprint()
		packed = append(packed, print[:]...)
	}
	return packed
}

// MissingFrom returns the members whose fingerprints are not in packed: those that the peer with these
// fingerprints does not know, or knows in another state. They are ordered by identity.
func (g *Group) MissingFrom(packed []byte) []Member {
	known := make(map[[fingerprintSize]byte]bool, len(packed)/fingerprintSize)
	for ; len(packed) >= fingerprintSize; packed = packed[fingerprintSize:] {
		known[[fingerprintSize]byte(packed)] = true
	}
	var lacking []Member
	add := func(member *Member) {
		if !known[member.fingerprint()] {
			lacking = append(lacking, *member)
		}
	}
	add(&g.self)
	for _, state := range g.members {
		add(&state.Member)
	}
	slices.SortFunc(lacking, func(a, b Member) int { return a.Identity.Compare(b.Identity) })
	return lacking
}
