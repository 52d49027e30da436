package node

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

// replicateInterval is how often an exception is told to the next owner.
const replicateInterval = 5 * time.Second

// hashed is the index of the target that the rendezvous hash gives, -1 if there
// is none.
func (p *picker) hashed() int { return ownership.Rendezvous(p.key.Hash, p.service.Nodes) }

// isException reports whether a pin is another than the hash would give now, so
// that an owner without the pin would break the flow.
func (p *picker) isException(pin *ownership.Pin) bool {
	index := p.hashed()
	return index >= 0 && uint32(p.service.Targets[index].Number) != pin.Target
}

// sendDatagramFlow is the owner's part for a plain UDP flow. Every packet of the
// flow comes here, so its pin is what holds it together. Only exceptions are
// replicated: all other flows the next owner finds by the hash.
func (d *dataPlane) sendDatagramFlow(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, pick *picker, isOwner bool) {
	if !isOwner && d.mayBeKnownElsewhere(pick) {
		if previous := pick.snapshot.NextOwner(pick.key); previous != nil {
			d.counters.handedOver.Add(1)
			d.handOver(worker, inbound, offset, previous)
			return
		}
	}
	var tell bool
	pin, stored := d.udpFlows.Update(pick.now, pick.key, func(held ownership.Pin, found bool) (ownership.Pin, bool) {
		pin, store := pick.decide(held, found)
		tell = store && pick.isException(&pin) && pick.now.Sub(pin.Replicated) > replicateInterval
		if tell {
			pin.Replicated = pick.now
		}
		return pin, store
	})
	if !stored {
		d.drop(pick.failure)
		return
	}
	target := pick.snapshot.Target(pin.Target)
	if target == nil {
		d.drop(steering.ReasonTargetGone)
		return
	}
	if isOwner {
		// The sender owns the flow and asked, or took this daemon for the owner.
		d.replicate(worker, pick, inbound.Source, &pin)
	}
	if tell {
		if next := pick.snapshot.NextOwner(pick.key); next != nil {
			d.replicateTo(worker, pick, next.Address, &pin)
		}
	}
	d.sendToTarget(worker, inbound, offset, pick.snapshot, target, true)
}

// mayBeKnownElsewhere reports whether this daemon owns the flow without knowing
// it and joined so lately that the owner before may still have its pin.
func (d *dataPlane) mayBeKnownElsewhere(pick *picker) bool {
	if pick.now.Sub(d.started) > d.udpIdle {
		return false
	}
	known := false
	d.udpFlows.Update(pick.now, pick.key, func(held ownership.Pin, found bool) (ownership.Pin, bool) {
		known = found
		return held, false
	})
	return !known
}

// replicate tells the flow's owner the pin, if it is the owner that asked.
func (d *dataPlane) replicate(worker *forwarding.Worker, pick *picker, asker netip.AddrPort, pin *ownership.Pin) {
	owner := pick.snapshot.Owner(pick.key)
	if owner != nil && !owner.IsSelf && owner.Address == asker {
		d.replicateTo(worker, pick, asker, pin)
	}
}

func (d *dataPlane) replicateTo(worker *forwarding.Worker, pick *picker, to netip.AddrPort, pin *ownership.Pin) {
	memory := worker.Context.(*workerContext)
	d.counters.replicated.Add(1)
	header := encapsulation.Header{
		Kind: encapsulation.KindReplicatePin, Caller: memory.header.Caller, Service: memory.header.Service,
		ServiceNumber: uint32(pick.service.Number), TargetNumber: pin.Target,
	}
	worker.Send(d.backend, to, encapsulation.Append(nil, &header))
}

// takePin stores a pin that another daemon has told, unless this daemon has one.
func (d *dataPlane) takePin(header *encapsulation.Header) {
	now := time.Now()
	key := ownership.KeyOfCaller(header.ServiceNumber, header.Caller)
	d.udpFlows.Update(now, key, func(held ownership.Pin, found bool) (ownership.Pin, bool) {
		if found {
			return held, true
		}
		return ownership.Pin{Target: header.TargetNumber, Created: now}, true
	})
}
