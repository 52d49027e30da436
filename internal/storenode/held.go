package storenode

import (
	"slices"
	"time"

	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/steering/token"
)

// heldPacket is a packet that waits for its target to become known.
type heldPacket struct {
	at     time.Time
	until  time.Time
	buffer []byte
}

// release decides again on the held packets once there is a configuration. Before that few could be
// decided, and holding them again would lose their places to packets that arrive meanwhile. Only the
// control loop calls it.
func (p *tokenPlane) release(now time.Time) {
	if !p.isConfigured() {
		return
	}
	p.releaseAll(now)
}

// releaseAll decides again on the held packets, newest first: under overload it is better to serve
// some in time than all too late, and callers that waited for long retransmit anyway.
func (p *tokenPlane) releaseAll(now time.Time) {
	p.mutex.Lock()
	waiting := p.held
	p.held = nil
	p.mutex.Unlock()
	if len(waiting) == 0 {
		return
	}
	for index := range slices.Backward(waiting) {
		if now.Before(waiting[index].until) {
			p.handle(p.releaser, &forwarding.Inbound{Buffer: waiting[index].buffer}, arrival{at: waiting[index].at})
		}
	}
	p.releaser.Flush()
	p.mutex.Lock()
	slices.SortStableFunc(p.held, func(a, b heldPacket) int { return a.at.Compare(b.at) })
	p.mutex.Unlock()
}

// hold keeps a packet that arrived at cameAt until more is known. Without a table, or with a table
// that may lack the target, any answer could break a flow. Forwarding the packet as soon as possible
// saves its caller a retransmission.
func (p *tokenPlane) hold(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, cameAt time.Time) {
	until := cameAt.Add(dataHeldFor)
	if packet.IsOpening {
		until = cameAt.Add(openingHeldFor)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.held) >= p.most {
		p.held = slices.DeleteFunc(p.held, func(packet heldPacket) bool { return !time.Now().Before(packet.until) })
	}
	if len(p.held) >= p.most {
		p.counters.dropped[token.ReasonNotReady].Add(1)
		return
	}
	if worker != p.releaser {
		p.counters.held.Add(1)
	}
	p.held = append(p.held, heldPacket{at: cameAt, until: until, buffer: append([]byte(nil), inbound.Buffer...)})
}
