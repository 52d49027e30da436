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
	maximumContacts = 64
)

// contacts are the peers from which a datagram arrived recently, which can therefore supply
// this daemon.
type contacts struct {
	byPeer map[netip.AddrPort]contact
}

type contact struct {
	heardAt time.Time
	rank    uint64
}

func (c *contacts) note(now time.Time, peer netip.AddrPort) {
	if c.byPeer == nil {
		c.byPeer = map[netip.AddrPort]contact{}
	}
	held, isKnown := c.byPeer[peer]
	if !isKnown && len(c.byPeer) >= maximumContacts {
		c.forget(now)
		if len(c.byPeer) >= maximumContacts {
			return
		}
	}
	if !isKnown {
		held.rank = rankAt(peer)
	}
	held.heardAt = now
	c.byPeer[peer] = held
}

func (c *contacts) forget(now time.Time) {
	maps.DeleteFunc(c.byPeer, func(_ netip.AddrPort, held contact) bool { return now.Sub(held.heardAt) >= contactLifetime })
}

// ahead returns the number of contacts, and how many of them rank above the given rank.
func (c *contacts) ahead(now time.Time, rank uint64) (heard, above int) {
	c.forget(now)
	for _, held := range c.byPeer {
		if held.rank > rank {
			above++
		}
	}
	return len(c.byPeer), above
}

// rankAt returns the rank among readers of the daemon at an address.
func rankAt(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }
