package followed

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/passtray/passtray/internal/membership"
)

const (
	// maxRelays bounds the relays that the reader sends to: 32 times 700 bytes take 18 ms on a
	// link of 10 Mbit/s.
	maxRelays = 32
	// relaysPerMember is the number of relays that send to each daemon. If all of them are lost,
	// gossip delivers the update a round later.
	relaysPerMember = 2
	// directBurst and directInterval limit the updates sent directly. Updates in quick
	// succession are left to gossip, which batches them and so needs less processor time. With
	// every update sent directly, a rolling restart of 300 daemons took a third more of it.
	directBurst    = 2
	directInterval = time.Second
)

// relays are high-capacity daemons that forward updates to the others. There is no election:
// each daemon derives them from the members it knows, and gossip covers the differences between
// their views.
type relays struct {
	// addresses holds the relays in order of rank; empty if there are none.
	addresses []netip.AddrPort
	// audience holds the daemons that this daemon sends to, if it is a relay.
	audience []netip.AddrPort
	isRelay  bool
}

// newRelays selects the relays among the live members: the strong ones by rank, if they are
// outnumbered by the others.
func newRelays(live []membership.Member, capacity *groupCapacity, self netip.AddrPort, minMembers int) relays {
	var strong, weak []netip.AddrPort
	for index := range live {
		if capacity.isStrong(&live[index]) {
			strong = append(strong, live[index].Identity.Address)
		} else {
			weak = append(weak, live[index].Identity.Address)
		}
	}
	if minMembers == 0 || len(live) < minMembers || len(strong) < relaysPerMember || len(strong) >= len(weak) {
		return relays{}
	}
	ranks := make(map[netip.AddrPort]uint64, len(strong))
	for _, address := range strong {
		ranks[address] = rankOfAddress(address)
	}
	slices.SortFunc(strong, func(a, b netip.AddrPort) int { return cmp.Compare(ranks[b], ranks[a]) })
	chosen := relays{addresses: strong[:min(maxRelays, len(strong))]}
	chosen.isRelay = slices.Contains(chosen.addresses, self)
	if chosen.isRelay {
		chosen.audience = chosen.audienceOf(self, append(weak, strong[len(chosen.addresses):]...))
	}
	return chosen
}

// audienceOf returns the daemons that a relay sends to. Each is assigned its relays by
// rendezvous hashing, so that adding or removing a relay moves few of them.
func (r *relays) audienceOf(relay netip.AddrPort, others []netip.AddrPort) []netip.AddrPort {
	var audience []netip.AddrPort
	keys := make([]uint64, len(r.addresses))
	for index, address := range r.addresses {
		keys[index] = rankOfAddress(address)
	}
	own := rankOfAddress(relay)
	for _, other := range others {
		key, ahead := rankOfAddress(other), 0
		score := rendezvousScore(own, key)
		for _, rival := range keys {
			if rival != own && rendezvousScore(rival, key) > score {
				ahead++
			}
		}
		if ahead < relaysPerMember {
			audience = append(audience, other)
		}
	}
	return audience
}

func rendezvousScore(relay, other uint64) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:], relay)
	binary.BigEndian.PutUint64(pair[8:], other)
	return xxhash.Sum64(pair[:])
}

// Role describes what a daemon does for the group.
type Role struct {
	// IsStrong means that its capacity qualifies it for roles, IsRelay that it forwards updates
	// to Audience other daemons.
	IsStrong bool
	IsRelay  bool
	Audience int
}

func (f *Fleet) Role() Role {
	return Role{IsStrong: f.isStrong, IsRelay: f.relays.isRelay, Audience: len(f.relays.audience)}
}

// burstLimiter is a token bucket of directBurst updates, refilled at one per directInterval.
type burstLimiter struct {
	// fullAt is when the bucket is full again.
	fullAt time.Time
}

// allow takes a token and reports whether there was one.
func (l *burstLimiter) allow(now time.Time) bool {
	if l.fullAt.Sub(now) > (directBurst-1)*directInterval {
		return false
	}
	l.fullAt = maxTime(l.fullAt, now).Add(directInterval)
	return true
}

// sendDirectly sends an update, bypassing gossip: the daemon that read it from the store sends to the
// relays, a relay to its audience.
func (f *Fleet) sendDirectly(now time.Time, payload []byte, isFromStore bool) {
	to := f.relays.audience
	if isFromStore {
		to = slices.Concat(f.relays.addresses, to)
	}
	if len(to) == 0 || !f.directLimiter.allow(now) {
		return
	}
	f.directDatagrams = append(f.directDatagrams, f.group.BroadcastDatagrams(to, payload)...)
}
