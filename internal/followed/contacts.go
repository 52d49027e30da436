package followed

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactLifetime covers several gossip intervals.
	contactLifetime = 2 * time.Second
	maxContacts     = 64
)

// contacts are the peers from which a datagram arrived recently, which can therefore supply
// this daemon.
type contacts struct {
	byPeer map[netip.AddrPort]contact
}

type contact struct {
	lastHeardAt time.Time
	rank        uint64
}

func (c *contacts) add(now time.Time, peer netip.AddrPort) {
	if c.byPeer == nil {
		c.byPeer = map[netip.AddrPort]contact{}
	}
	entry, isKnown := c.byPeer[peer]
	if !isKnown && len(c.byPeer) >= maxContacts {
		c.prune(now)
		if len(c.byPeer) >= maxContacts {
			return
		}
	}
	if !isKnown {
		entry.rank = rankOfAddress(peer)
	}
	entry.lastHeardAt = now
	c.byPeer[peer] = entry
}

func (c *contacts) prune(now time.Time) {
	maps.DeleteFunc(c.byPeer, func(_ netip.AddrPort, entry contact) bool { return now.Sub(entry.lastHeardAt) >= contactLifetime })
}

// countAbove returns the number of contacts, and how many of them rank above rank.
func (c *contacts) countAbove(now time.Time, rank uint64) (total, above int) {
	c.prune(now)
	for _, entry := range c.byPeer {
		if entry.rank > rank {
			above++
		}
	}
	return len(c.byPeer), above
}

// rankOfAddress returns the rank among readers of the daemon at an address.
func rankOfAddress(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }
