// Package rendezvous chooses daemons by rendezvous hashing: all that agree on who lives
// choose the same ones, and one that comes or goes changes only the choices that it is part
// of (Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// keyBytes is the length of what is hashed: a key, an address and a port.
const keyBytes = 8 + 16 + 2

// Rank is a daemon's rank for a key; the highest is chosen first.
func Rank(key uint64, daemon netip.AddrPort) uint64 {
	var hashed [keyBytes]byte
	binary.BigEndian.PutUint64(hashed[:8], key)
	address := daemon.Addr().As16()
	copy(hashed[8:24], address[:])
	binary.BigEndian.PutUint16(hashed[24:], daemon.Port())
	return xxhash.Sum64(hashed[:])
}

// First returns the first daemons for a key, at most count, in order. It sorts daemons in
// place.
func First(key uint64, daemons []netip.AddrPort, count int) []netip.AddrPort {
	slices.SortFunc(daemons, func(a, b netip.AddrPort) int { return cmp.Compare(Rank(key, b), Rank(key, a)) })
	return daemons[:min(count, len(daemons))]
}

// IsAmongFirst reports whether a daemon is among the first for a key.
func IsAmongFirst(key uint64, daemon netip.AddrPort, daemons []netip.AddrPort, count int) bool {
	own := Rank(key, daemon)
	ahead := 0
	for _, other := range daemons {
		if other != daemon && Rank(key, other) > own {
			ahead++
		}
	}
	return ahead < count
}
