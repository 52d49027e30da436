package token

import (
	"net/netip"
	"time"
	"unsafe"
)

const (
	// minOpenFlowAge is the minimum age of a flow that counts as open. Flows for a single request
	// end before their count could be reported.
	minOpenFlowAge = 500 * time.Millisecond
	// openFlowDataTimeout is the time without data after which a flow doesn't count as open: its
	// caller is idle or gone, or its packets now pass through another daemon.
	openFlowDataTimeout = 5 * time.Second
	// maxOpenFlows is the maximum number of tracked flows: 50 million flows among 1,400 daemons
	// are 36,000 each. Flows beyond it aren't tracked, and are reset only with their next packet
	// if their target dies.
	maxOpenFlows = 1 << 16
	// defaultIdleTimeout is the idle timeout if the configuration sets none.
	defaultIdleTimeout = time.Minute
	// mapBytesPerFlow is the memory per flow in the map: 12 bytes in groups that are 7/16 to 7/8
	// full, and a control byte each.
	mapBytesPerFlow = 22
)

// openFlow is one tracked flow. It has no pointers, so the garbage collector doesn't scan it.
type openFlow struct {
	hash                uint64
	caller, destination [16]byte
	callerPort, port    uint16
	target              uint32 // token, 0 in a free slot
	route               uint32 // number of the route that last matched
	acknowledgement     uint32
	// firstData and lastData are the times of packets with data, last that of any packet.
	firstData, lastData, last timestamp
}

// timestamp is a time in milliseconds since the first recorded one, modulo 2^32 (49 days); 0 is
// none. It is monotonic, since wall-clock time may jump.
type timestamp uint32

func (o *openFlows) timestampOf(at time.Time) timestamp {
	if o.epoch.IsZero() {
		o.epoch = at.Add(-time.Millisecond)
	}
	return max(1, timestamp(at.Sub(o.epoch).Milliseconds()))
}

// since returns the time from earlier to m, negative if m is before earlier. That happens because
// the control loop uses the time at which its tick began, and packets arrive meanwhile. Unsigned
// arithmetic would turn 1 ms into 49 days, and the flow would be dropped.
func (m timestamp) since(earlier timestamp) time.Duration {
	return time.Duration(int32(m-earlier)) * time.Millisecond
}

// openFlows tracks open flows whose packets pass this daemon: how many each target has, and what
// is needed to reset idle ones. It is not safe for concurrent use.
type openFlows struct {
	slots map[uint64]uint32 // index in flows by flow hash
	flows []openFlow
	free  []uint32
	// idleTimeout is the idle timeout of a flow.
	idleTimeout time.Duration
	// epoch is the time from which timestamps count.
	epoch time.Time
}

func newOpenFlows() *openFlows {
	return &openFlows{slots: map[uint64]uint32{}, idleTimeout: defaultIdleTimeout}
}

// note records a packet forwarded on an open flow; route is the route's number.
func (o *openFlows) note(now time.Time, hash uint64, route uint32, target *Target, packet *Packet) {
	if packet.IsClosing || packet.IsReset {
		o.remove(hash)
		return
	}
	at := o.timestampOf(now)
	flow := o.lookup(hash)
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

// lookup returns the slot of a flow, a free one if the flow isn't tracked, or nil if none is left.
func (o *openFlows) lookup(hash uint64) *openFlow {
	if slot, isKnown := o.slots[hash]; isKnown {
		return &o.flows[slot]
	}
	slot := uint32(len(o.flows))
	switch {
	case len(o.free) > 0:
		slot = o.free[len(o.free)-1]
		o.free = o.free[:len(o.free)-1]
	case len(o.flows) >= maxOpenFlows:
		return nil
	default:
		o.flows = append(o.flows, openFlow{})
	}
	o.slots[hash] = slot
	return &o.flows[slot]
}

// dataSince returns since when data of a flow to a target has arrived under a route, now if none
// has. After a silence longer than any retransmission interval it may be another flow from the
// same port.
func (o *openFlows) dataSince(now time.Time, hash uint64, route, target uint32) time.Time {
	slot, isKnown := o.slots[hash]
	if !isKnown {
		return now
	}
	at, flow := o.timestampOf(now), &o.flows[slot]
	if flow.route != route || flow.target != target || flow.firstData == 0 || at.since(flow.last) >= unroutedIdleTimeout {
		return now
	}
	return now.Add(-at.since(flow.firstData))
}

func (o *openFlows) remove(hash uint64) {
	slot, isKnown := o.slots[hash]
	if !isKnown {
		return
	}
	delete(o.slots, hash)
	o.flows[slot] = openFlow{}
	o.free = append(o.free, slot)
}

// count returns the number of open flows by target and removes flows past the idle timeout.
func (o *openFlows) count(now time.Time) map[uint32]int {
	counts, at := map[uint32]int{}, o.timestampOf(now)
	for index := range o.flows {
		flow := &o.flows[index]
		switch {
		case flow.target == 0:
		case at.since(flow.last) >= o.idleTimeout:
			o.remove(flow.hash)
		case flow.firstData == 0 || at.since(flow.lastData) >= openFlowDataTimeout:
		case flow.lastData.since(flow.firstData) >= minOpenFlowAge:
			counts[flow.target]++
		}
	}
	return counts
}

// takeDead removes up to limit flows whose targets are dead and returns the headers of their
// last packets.
func (o *openFlows) takeDead(isDead func(target uint32) bool, limit int) []Packet {
	var headers []Packet
	for index := range o.flows {
		if len(headers) >= limit {
			break
		}
		if flow := &o.flows[index]; flow.target != 0 && isDead(flow.target) {
			headers = append(headers, flow.header())
			o.remove(flow.hash)
		}
	}
	return headers
}

func (f *openFlow) header() Packet {
	return Packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom16(f.caller).Unmap(), f.callerPort),
		Destination: netip.AddrPortFrom(netip.AddrFrom16(f.destination).Unmap(), f.port),
		Token:       f.target, Acknowledgement: f.acknowledgement,
	}
}

// TrackedFlows are statistics on tracked open flows.
type TrackedFlows struct {
	// Count is the number of tracked flows, Capacity the maximum, Bytes the approximate memory.
	Count, Capacity, Bytes int
}

func (o *openFlows) stats() TrackedFlows {
	slots := cap(o.flows)
	bytes := slots*int(unsafe.Sizeof(openFlow{})) + 4*cap(o.free) + mapBytesPerFlow*len(o.slots)
	return TrackedFlows{Count: len(o.slots), Capacity: maxOpenFlows, Bytes: bytes}
}

// SetIdle sets the idle timeout of flows; 0 selects the default.
func (r *Requests) SetIdle(idleTimeout time.Duration) {
	r.flows.idleTimeout = defaultIdleTimeout
	if idleTimeout > 0 {
		r.flows.idleTimeout = idleTimeout
	}
}

// TrackedFlows returns statistics on tracked open flows.
func (r *Requests) TrackedFlows() TrackedFlows { return r.flows.stats() }

// TakeIdle removes up to limit open flows whose targets, given by token, are dead, and returns
// for each the packet header to answer with a reset. It does not end pending requests: call
// TakePending first, which removes the flows of waiting callers and ends their requests.
func (r *Requests) TakeIdle(isDead func(target uint32) bool, limit int) []Packet {
	return r.flows.takeDead(isDead, limit)
}
