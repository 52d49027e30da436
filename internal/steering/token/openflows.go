package token

import (
	"net/netip"
	"time"
	"unsafe"
)

const (
	// longFlowAfter is from what age on a flow counts as open: one that lasts for a
	// single request is gone before anybody could be told.
	longFlowAfter = 500 * time.Millisecond
	// openFlowSilence is after how long without data a flow counts no more. Its
	// caller rests or is gone, or its packets go past another daemon.
	openFlowSilence = 5 * time.Second
	// mostOpenFlows bounds the flows that are kept: 50 million among 1,400 daemons are
	// 36,000 at each. Beyond it new ones are left out, and learn of their target's death
	// with their next packet.
	mostOpenFlows = 1 << 16
	// defaultIdle is for how long a flow that rests is kept where the configuration does
	// not say when it may be forgotten.
	defaultIdle = time.Minute
	// bytesOfPlace is what the place of a flow in the map costs: 12 bytes in groups that
	// are between 7/16 and 7/8 full, and a byte of control each.
	bytesOfPlace = 22
)

// openFlow is one flow whose packets came here: its last head, and when it was used.
// It has no pointers, so that the garbage collector need not look into it.
type openFlow struct {
	hash                uint64
	caller, destination [16]byte
	callerPort, port    uint16
	target              uint32 // its token, 0 in a place that is free
	route               uint32 // the number of the route that it was seen under last
	acknowledgement     uint32
	// firstData and lastData are of packets with data, last is of any.
	firstData, lastData, last moment
}

// moment is a time in milliseconds since the first one that was noted, modulo 49 days; 0 is
// none. It counts by the steady clock: the time of day may jump.
type moment uint32

// momentOf returns the moment of a time.
func (o *openFlows) momentOf(at time.Time) moment {
	if o.began.IsZero() {
		o.began = at.Add(-time.Millisecond)
	}
	return max(1, moment(at.Sub(o.began).Milliseconds()))
}

// since returns how much later a moment is than another, below 0 if it is earlier: the control
// loop's time is that of a tick's beginning, and packets come meanwhile. Unsigned, a
// millisecond back would be 49 days on, and the flow would be forgotten.
func (m moment) since(earlier moment) time.Duration {
	return time.Duration(int32(m-earlier)) * time.Millisecond
}

// openFlows keeps the flows that are open at targets, as far as their packets come past
// this daemon: how many there are at each, and what it takes to reset one that rests.
// One goroutine at a time may use it.
type openFlows struct {
	places map[uint64]uint32 // by the hash of route and caller: where in flows
	flows  []openFlow
	free   []uint32
	// idle is for how long a flow that rests is kept.
	idle time.Duration
	// began is when moments count from.
	began time.Time
}

func newOpenFlows() *openFlows { return &openFlows{places: map[uint64]uint32{}, idle: defaultIdle} }

// note takes in a packet that is forwarded on an open flow, under a route given by its number.
func (o *openFlows) note(now time.Time, hash uint64, route uint32, target *Target, packet *Packet) {
	if packet.IsClosing || packet.IsReset {
		o.remove(hash)
		return
	}
	at := o.momentOf(now)
	flow := o.find(hash)
	if flow == nil {
		return
	}
	if flow.hash != hash || flow.target != target.Token || flow.route != route {
		*flow = newOpenFlow(hash, route, target.Token, packet)
	}
	flow.acknowledgement, flow.last = packet.Acknowledgement, at
	if packet.PayloadLength == 0 {
		return
	}
	flow.lastData = at
	if flow.firstData == 0 {
		flow.firstData = at
	}
}

func newOpenFlow(hash uint64, route, target uint32, packet *Packet) openFlow {
	return openFlow{
		hash: hash, target: target, route: route,
		caller: packet.Source.Addr().As16(), callerPort: packet.Source.Port(),
		destination: packet.Destination.Addr().As16(), port: packet.Destination.Port(),
	}
}

// find returns the place of a flow, a free one if the flow is not kept, or nil if there
// is none.
func (o *openFlows) find(hash uint64) *openFlow {
	if place, isKnown := o.places[hash]; isKnown {
		return &o.flows[place]
	}
	place := uint32(len(o.flows))
	switch {
	case len(o.free) > 0:
		place = o.free[len(o.free)-1]
		o.free = o.free[:len(o.free)-1]
	case len(o.flows) >= mostOpenFlows:
		return nil
	default:
		o.flows = append(o.flows, openFlow{})
	}
	o.places[hash] = place
	return &o.flows[place]
}

// dataSince returns since when data of a flow to a target has come here under a route, now if none has. After a
// silence that is longer than any between two sends it may be another flow from the same port.
func (o *openFlows) dataSince(now time.Time, hash uint64, route, target uint32) time.Time {
	place, isKnown := o.places[hash]
	if !isKnown {
		return now
	}
	at, flow := o.momentOf(now), &o.flows[place]
	if flow.route != route || flow.target != target || flow.firstData == 0 || at.since(flow.last) >= unroutedSilence {
		return now
	}
	return now.Add(-at.since(flow.firstData))
}

// remove keeps a flow no longer.
func (o *openFlows) remove(hash uint64) {
	place, isKnown := o.places[hash]
	if !isKnown {
		return
	}
	delete(o.places, hash)
	o.flows[place] = openFlow{}
	o.free = append(o.free, place)
}

// count returns the number of open flows by target and forgets those that rested for too
// long.
func (o *openFlows) count(now time.Time) map[uint32]int {
	counts, at := map[uint32]int{}, o.momentOf(now)
	for index := range o.flows {
		flow := &o.flows[index]
		switch {
		case flow.target == 0:
		case at.since(flow.last) >= o.idle:
			o.remove(flow.hash)
		case flow.firstData == 0 || at.since(flow.lastData) >= openFlowSilence:
		case flow.lastData.since(flow.firstData) >= longFlowAfter:
			counts[flow.target]++
		}
	}
	return counts
}

// take removes flows whose targets are dead, at most so many, and returns their last heads.
func (o *openFlows) take(isDead func(target uint32) bool, most int) []Packet {
	var heads []Packet
	for index := range o.flows {
		if len(heads) >= most {
			break
		}
		if flow := &o.flows[index]; flow.target != 0 && isDead(flow.target) {
			heads = append(heads, flow.head())
			o.remove(flow.hash)
		}
	}
	return heads
}

func (f *openFlow) head() Packet {
	return Packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom16(f.caller).Unmap(), f.callerPort),
		Destination: netip.AddrPortFrom(netip.AddrFrom16(f.destination).Unmap(), f.port),
		Token:       f.target, Acknowledgement: f.acknowledgement,
	}
}

// HeldFlows is what a daemon keeps of open flows.
type HeldFlows struct {
	// Count is how many are kept, Most the bound, Bytes about what they take.
	Count, Most, Bytes int
}

func (o *openFlows) held() HeldFlows {
	places := cap(o.flows)
	bytes := places*int(unsafe.Sizeof(openFlow{})) + 4*cap(o.free) + bytesOfPlace*len(o.places)
	return HeldFlows{Count: len(o.places), Most: mostOpenFlows, Bytes: bytes}
}

// SetIdle says after how long of rest a flow may be forgotten, 0 where that is not known.
func (r *Requests) SetIdle(idle time.Duration) {
	r.open.idle = defaultIdle
	if idle > 0 {
		r.open.idle = idle
	}
}

// HeldFlows returns what is kept of open flows.
func (r *Requests) HeldFlows() HeldFlows { return r.open.held() }

// TakeResting ends flows whose targets are dead and whose callers wait for nothing, at most
// so many, and returns for each the head that a reset answers. The target is given by token.
func (r *Requests) TakeResting(isDead func(target uint32) bool, most int) []Packet {
	return r.open.take(isDead, most)
}
