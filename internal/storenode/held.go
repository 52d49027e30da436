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
	packets := p.held
	p.held = nil
	p.mutex.Unlock()
	if len(packets) == 0 {
		return
	}
	for index := range slices.Backward(packets) {
		if now.Before(packets[index].until) {
			p.handle(p.releaseWorker, &forwarding.Inbound{Buffer: packets[index].buffer}, arrival{at: packets[index].at})
		}
	}
	p.releaseWorker.Flush()
	p.mutex.Lock()
	slices.SortStableFunc(p.held, func(a, b heldPacket) int { return a.at.Compare(b.at) })
	p.mutex.Unlock()
}

// hold keeps a packet that arrived at arrivedAt until more is known. Without a table, or with a table
// that may lack the target, any answer could break a flow. Forwarding the packet as soon as possible
// saves its caller a retransmission.
func (p *tokenPlane) hold(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, arrivedAt time.Time) {
	until := arrivedAt.Add(maxDataHold)
	if packet.IsOpening {
		until = arrivedAt.Add(maxFirstPacketHold)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.held) >= p.maxHeld {
		p.held = slices.DeleteFunc(p.held, func(packet heldPacket) bool { return !time.Now().Before(packet.until) })
	}
	if len(p.held) >= p.maxHeld {
		p.counters.dropped[token.ReasonNotReady].Add(1)
		return
	}
	if worker != p.releaseWorker {
		p.counters.held.Add(1)
	}
	p.held = append(p.held, heldPacket{at: arrivedAt, until: until, buffer: append([]byte(nil), inbound.Buffer...)})
}
