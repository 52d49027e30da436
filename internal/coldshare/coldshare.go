// Package coldshare divides what a cold target can take among daemons. While it is slow
// from its start, all daemons together may give a target only so many new flows in any
// second. A daemon sees no others' flows in time, so each must keep to a part of its own
// such that the parts add up.
//
// Few daemons, chosen by the target, have a part, the others pass the target over until
// it is warm. To give each daemon of a large fleet its even part does not work: the part
// is less than one flow a second, and as many single flows as there are daemons may come
// at once.
package coldshare

import (
	"net/netip"

	"github.com/passtray/passtray/internal/rendezvous"
)

const (
	// usedPart is the part of the bound that is given out. Daemons that disagree on who
	// lives, as the two sides of a partition do, may give it out twice.
	usedPart = 0.5
	// leastShare is the least part of a daemon, in flows a second. With smaller ones, more
	// of them stay unused, as callers come unevenly.
	leastShare = 2
)

// Of returns how many new flows a second a daemon may give to a cold target, of which all
// together may give it bound.
func Of(target uint64, bound float64, daemon netip.AddrPort, daemons []netip.AddrPort) int {
	given := int(bound * usedPart)
	if given < 1 {
		return 0
	}
	holders := min(max(given/leastShare, 1), max(len(daemons), 1))
	if !rendezvous.IsAmongFirst(target, daemon, daemons, holders) {
		return 0
	}
	return given / holders
}
