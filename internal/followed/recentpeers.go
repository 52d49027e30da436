package followed

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

const maxRecentPeers = 32

// recentPeers holds the most recently added peers, each once.
type recentPeers struct {
	addresses []netip.AddrPort
}

// add records a peer as the most recent.
func (p *recentPeers) add(address netip.AddrPort) {
	p.addresses = slices.DeleteFunc(p.addresses, func(known netip.AddrPort) bool { return known == address })
	if len(p.addresses) >= maxRecentPeers {
		p.addresses = slices.Delete(p.addresses, 0, 1)
	}
	p.addresses = append(p.addresses, address)
}

// pick returns a random peer that accept approves, false if there is none.
func (p *recentPeers) pick(random *rand.Rand, accept func(address netip.AddrPort) bool) (netip.AddrPort, bool) {
	first := 0
	if len(p.addresses) > 0 {
		first = random.IntN(len(p.addresses))
	}
	for index := range p.addresses {
		address := p.addresses[(first+index)%len(p.addresses)]
		if accept(address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}
