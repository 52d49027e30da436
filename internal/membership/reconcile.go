package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprintSize is small, so that a whole list's fingerprints are a thirtieth
// of the list. Two records share one with a probability of 2^-32; what that
// hides, probes repair.
const fingerprintSize = 4

// fingerprint is of what may differ between two views of a member.
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

// Fingerprints returns the fingerprints of all members remembered, packed.
func (g *Group) Fingerprints() []byte {
	all := g.All()
	packed := make([]byte, 0, len(all)*fingerprintSize)
	for index := range all {
		print := all[index].fingerprint()
		packed = append(packed, print[:]...)
	}
	return packed
}

// Lacking returns the members that are not among packed fingerprints: what a
// peer with those lacks, or holds differently.
func (g *Group) Lacking(packed []byte) []Member {
	held := make(map[[fingerprintSize]byte]bool, len(packed)/fingerprintSize)
	for ; len(packed) >= fingerprintSize; packed = packed[fingerprintSize:] {
		held[[fingerprintSize]byte(packed)] = true
	}
	var lacking []Member
	for _, member := range g.All() {
		if !held[member.fingerprint()] {
			lacking = append(lacking, member)
		}
	}
	return lacking
}
