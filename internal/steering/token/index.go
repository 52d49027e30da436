package token

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/passtray/passtray/internal/loadshare"
)

// index holds the known targets by token, address, zone and service. It is updated in place,
// target by target, at a cost independent of the number of targets. It must not be read while it
// is updated.
type index struct {
	// byMark and byAddress hold linked lists of the targets with a mark and at an address. A mark
	// is a prefix of the token, so it also leads to the targets of a token. Most lists have one
	// element.
	byMark    map[loadshare.Mark]*Target
	byAddress map[addressKey]*Target
	zones     map[string]*zone
	services  map[string]*Service
	// count is the number of all targets.
	count int
	// eligibleCount is the number of targets that accept new flows, superseded that of targets at
	// whose address another target runs.
	eligibleCount, superseded int
	// slowStarting are the targets in slow start whose rate of new flows is limited.
	slowStarting map[*Target]struct{}
	// contested are the addresses of several targets of which any may run.
	contested map[netip.AddrPort]struct{}
	// successionChanged are the targets that may have been superseded, or no longer be, since the last
	// call of TakeSuccessions.
	successionChanged map[*Target]struct{}
}

// zone holds the targets of a zone, except superseded ones, and their number by service.
type zone struct {
	targets  []*Target
	services map[string]int
}

// addressKey is an IPv4 address and port, or the hash of an IPv6 address and port.
type addressKey uint64

func addressKeyOf(address netip.AddrPort) addressKey {
	var bytes [18]byte
	if address.Addr().Is4() {
		ip := address.Addr().As4()
		return addressKey(binary.BigEndian.Uint32(ip[:]))<<16 | addressKey(address.Port())
	}
	ip := address.Addr().As16()
	copy(bytes[:], ip[:])
	binary.BigEndian.PutUint16(bytes[16:], address.Port())
	return addressKey(xxhash.Sum64(bytes[:]))
}

// newIndex returns an index with capacity for the given number of targets.
func newIndex(targets int) *index {
	return &index{
		byMark: make(map[loadshare.Mark]*Target, targets), byAddress: make(map[addressKey]*Target, targets),
		zones: map[string]*zone{}, services: map[string]*Service{}, slowStarting: map[*Target]struct{}{},
		contested: map[netip.AddrPort]struct{}{}, successionChanged: map[*Target]struct{}{},
	}
}

// find returns the target with a token, nil if there is none. If tokens collide, the target whose entry
// was created first gets the flows.
func (x *index) find(token uint32) *Target {
	for target := x.byMark[loadshare.MarkOf(token)]; target != nil; target = target.nextSameMark {
		if target.Token == token && !target.isShadowed {
			return target
		}
	}
	return nil
}

// known returns the target of a store entry, nil if there is none.
func (x *index) known(identifier uint64, key string) *Target {
	for target := x.byMark[loadshare.MarkOf(Of(identifier))]; target != nil; target = target.nextSameMark {
		if target.Identifier == identifier && target.Key == key {
			return target
		}
	}
	return nil
}

func (x *index) add(target *Target) {
	x.count++
	mark, address := loadshare.MarkOf(target.Token), addressKeyOf(target.Address)
	target.nextSameMark, x.byMark[mark] = x.byMark[mark], target
	target.nextSameAddress, x.byAddress[address] = x.byAddress[address], target
	if target.wasSuperseded {
		x.successionChanged[target] = struct{}{}
	}
	x.recompute(target)
}

func (x *index) remove(target *Target) {
	x.detach(target)
	x.recompute(target)
}

// replace replaces a target by a later state of it. If that has the same address, what is known of the
// others there is kept.
func (x *index) replace(previous, target *Target) {
	if previous.Address == target.Address && previous.Token == target.Token {
		x.detach(previous)
	} else {
		x.remove(previous)
	}
	x.add(target)
}

// detach removes a target without updating the others with its token or address.
func (x *index) detach(target *Target) {
	x.count--
	x.unindex(target)
	delete(x.successionChanged, target)
	mark, address := loadshare.MarkOf(target.Token), addressKeyOf(target.Address)
	unlink(x.byMark, mark, target, func(t *Target) **Target { return &t.nextSameMark })
	unlink(x.byAddress, address, target, func(t *Target) **Target { return &t.nextSameAddress })
	if target.IsSuperseded {
		x.superseded--
	}
}

// unlink removes a target from a linked list; next returns the link field of an element.
func unlink[K comparable](chains map[K]*Target, key K, target *Target, next func(*Target) **Target) {
	if chains[key] == target {
		if chains[key] = *next(target); chains[key] == nil {
			delete(chains, key)
		}
		return
	}
	for before := chains[key]; before != nil; before = *next(before) {
		if *next(before) == target {
			*next(before) = *next(target)
			return
		}
	}
}

// recompute updates which target owns a token and which one runs at an address, after a target
// with that token and address was added or removed.
func (x *index) recompute(changed *Target) {
	sameMark := x.byMark[loadshare.MarkOf(changed.Token)]
	resolveCollision(sameMark, changed.Token)
	atAddress := x.byAddress[addressKeyOf(changed.Address)]
	x.updateSuperseded(atAddress, changed.Address)
	for target := sameMark; target != nil; target = target.nextSameMark {
		x.reindex(target)
	}
	for target := atAddress; target != nil; target = target.nextSameAddress {
		x.reindex(target)
	}
}

// resolveCollision resolves token collisions: of the targets with a token only the one whose entry was
// created first gets flows, so that a later one takes none from it.
func resolveCollision(chain *Target, token uint32) {
	var owner *Target
	for target := chain; target != nil; target = target.nextSameMark {
		if target.Token == token && (owner == nil || target.precedes(owner)) {
			owner = target
		}
	}
	for target := chain; target != nil; target = target.nextSameMark {
		if target.Token == token {
			target.isShadowed = target != owner
		}
	}
}

// precedes orders targets by the creation of their entries, on all daemons alike.
func (t *Target) precedes(other *Target) bool {
	return cmp.Or(cmp.Compare(t.Start.Revision, other.Start.Revision), cmp.Compare(t.Key, other.Key)) < 0
}

func (x *index) setSuperseded(target *Target, isSuperseded bool) {
	if target.IsSuperseded == isSuperseded {
		return
	}
	target.IsSuperseded = isSuperseded
	x.successionChanged[target] = struct{}{}
	if isSuperseded {
		x.superseded++
	} else {
		x.superseded--
	}
}

// each calls visit with every target that can have flows.
func (x *index) each(visit func(target *Target)) {
	for _, chain := range x.byMark {
		for target := chain; target != nil; target = target.nextSameMark {
			if !target.isShadowed {
				visit(target)
			}
		}
	}
}
