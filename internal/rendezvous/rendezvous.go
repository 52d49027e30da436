// Package rendezvous selects daemons by rendezvous hashing (Thaler, Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998): all daemons with the same membership select the same ones,
// and a membership change only affects selections that include the changed member.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// inputBytes is the length of the hash input: a key, an IP address and a port.
const inputBytes = 8 + 16 + 2

// Score returns a daemon's score for a key; higher scores are selected first.
func Score(key uint64, daemon netip.AddrPort) uint64 {
	var input [inputBytes]byte
	binary.BigEndian.PutUint64(input[:8], key)
	address := daemon.Addr().As16()
	copy(input[8:24], address[:])
	binary.BigEndian.PutUint16(input[24:], daemon.Port())
	return xxhash.Sum64(input[:])
}

// Top returns the highest-scoring daemons for a key, at most count, in descending order. It sorts
// by insertion, which suits a small count.
func Top(key uint64, daemons []netip.AddrPort, count int) []netip.AddrPort {
	count = min(count, len(daemons))
	first, scores := make([]netip.AddrPort, 0, count+1), make([]uint64, 0, count+1)
	for _, daemon := range daemons {
		score := Score(key, daemon)
		if len(first) == count && (count == 0 || score <= scores[count-1]) {
			continue
		}
		position, _ := slices.BinarySearchFunc(scores, score, func(stored, wanted uint64) int { return cmp.Compare(wanted, stored) })
		first, scores = slices.Insert(first, position, daemon), slices.Insert(scores, position, score)
		first, scores = first[:min(count, len(first))], scores[:min(count, len(scores))]
	}
	return first
}

// IsInTop reports whether a daemon is among the count highest-scoring ones for a key.
func IsInTop(key uint64, daemon netip.AddrPort, daemons []netip.AddrPort, count int) bool {
	ownScore := Score(key, daemon)
	higher := 0
	for _, other := range daemons {
		if other != daemon && Score(key, other) > ownScore {
			higher++
		}
	}
	return higher < count
}
