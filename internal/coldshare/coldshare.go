// Package coldshare divides a target's slow-start rate limit among daemons. During slow start all
// daemons together may give a target only a limited number of new flows per second. Daemons do not
// learn of each other's flows in time, so each keeps to a share, and the shares add up to at most
// the limit.
//
// Only a few daemons per target, chosen by rendezvous hashing, have a share. An equal share for each
// daemon of a large fleet does not work: it would be less than one flow per second, and many single
// flows could arrive at once.
package coldshare

import (
	"net/netip"

	"github.com/passtray/passtray/internal/rendezvous"
)

const (
	// allocatedFraction is the fraction of the limit that is allocated. Daemons that disagree on the
	// membership, as in a partition, may allocate it twice.
	allocatedFraction = 0.5
	// minShare is the minimum share of a daemon in flows per second, if that much is allocated.
	// Smaller shares would more often stay unused, since callers are not spread evenly.
	minShare = 2
)

// Of returns how many new flows per second a daemon may give to a target in slow start, if all
// daemons together may give it at most bound.
func Of(target uint64, bound float64, daemon netip.AddrPort, daemons []netip.AddrPort) int {
	allocated := int(bound * allocatedFraction)
	if allocated < 1 {
		return 0
	}
	holders := min(max(allocated/minShare, 1), max(len(daemons), 1))
	if !rendezvous.IsInTop(target, daemon, daemons, holders) {
		return 0
	}
	return allocated / holders
}
