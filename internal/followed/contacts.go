package followed

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactLifetime is for how long after a datagram its sender counts as a contact:
	// several intervals of gossip.
	contactLifetime = 2 * time.Second
	// maximumContacts bounds how many are remembered.
	maximumContacts = 64
)

// contacts are the peers that this daemon heard from lately: those that can supply it.
type contacts struct {
	heardAt map[netip.AddrPort]time.Time
}

func (c *contacts) note(now time.Time, peer netip.AddrPort) {
	if c.heardAt == nil {
		c.heardAt = map[netip.AddrPort]time.Time{}
	}
	if _, isKnown := c.heardAt[peer]; !isKnown && len(c.heardAt) >= maximumContacts {
		c.forget(now)
		if len(c.heardAt) >= maximumContacts {
			return
		}
	}
	c.heardAt[peer] = now
}

func (c *contacts) forget(now time.Time) {
	maps.DeleteFunc(c.heardAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= contactLifetime })
}

// ahead returns how many contacts there are, and how many of them rank above a daemon.
func (c *contacts) ahead(now time.Time, rank uint64) (heard, above int) {
	c.forget(now)
	for peer := range c.heardAt {
		if rankAt(peer) > rank {
			above++
		}
	}
	return len(c.heardAt), above
}

// rankAt is the rank among readers of the daemon at an address.
func rankAt(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }
