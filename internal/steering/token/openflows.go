package token

import "time"

const (
	// longFlowAfter is from what age on a flow counts as open: one that lasts for a
	// single request is gone before anybody could be told.
	longFlowAfter = 500 * time.Millisecond
	// openFlowSilence is after how long without data a flow counts no more. Its
	// caller rests or is gone, or its packets go past another daemon.
	openFlowSilence = 5 * time.Second
	// countedFlows bounds the flows that are followed. A daemon with more of them
	// knows the load of its targets well enough from those.
	countedFlows = 4096
)

// openFlow is one flow whose data came here.
type openFlow struct {
	target      uint32
	first, last time.Time
}

// openFlows counts the flows that are open at each target, as far as their packets come
// past this daemon. One goroutine at a time may use it.
type openFlows struct {
	flows map[uint64]openFlow // by the hash of route and caller
}

func newOpenFlows() *openFlows { return &openFlows{flows: map[uint64]openFlow{}} }

// note takes in a packet that is forwarded on an open flow.
func (o *openFlows) note(now time.Time, flow uint64, target *Target, packet *Packet) {
	if packet.IsClosing || packet.IsReset {
		delete(o.flows, flow)
		return
	}
	if packet.PayloadLength == 0 {
		return
	}
	held, isKnown := o.flows[flow]
	switch {
	case isKnown && held.target == target.Token:
		held.last = now
	case !isKnown && len(o.flows) >= countedFlows:
		return
	default:
		held = openFlow{target: target.Token, first: now, last: now}
	}
	o.flows[flow] = held
}

// count returns the number of open flows by target and forgets those that are silent.
func (o *openFlows) count(now time.Time) map[uint32]int {
	counts := map[uint32]int{}
	for flow, held := range o.flows {
		switch {
		case now.Sub(held.last) >= openFlowSilence:
			delete(o.flows, flow)
		case held.last.Sub(held.first) >= longFlowAfter:
			counts[held.target]++
		}
	}
	return counts
}
