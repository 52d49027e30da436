package node

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

// replicateInterval is the minimum interval between two replications of one pin to the next owner.
const replicateInterval = 5 * time.Second

// hashed returns the index of the target selected by rendezvous hashing, or -1 if there is none.
func (p *picker) hashed() int { return ownership.Rendezvous(p.key.Hash, p.service.Nodes) }

// isException reports whether the pinned target differs from the one selected by the hash, so that an owner without
// the pin would move the flow.
func (p *picker) isException(pin *ownership.Pin) bool {
	index := p.hashed()
	return index >= 0 && uint32(p.service.Targets[index].Number) != pin.Target
}

// sendDatagramFlow is pickAndSend for plain UDP. Every packet of the flow passes its owner, whose pin alone keeps the
// flow on its target. Only pins that differ from the hash are replicated: for all others, the next owner computes the
// same target.
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
		// Either the sender owns the flow and requests its pin, or it regards this daemon as the owner.
		d.replicate(worker, pick, inbound.Source, &pin)
	}
	if tell {
		if next := pick.snapshot.NextOwner(pick.key); next != nil {
			d.replicateTo(worker, pick, next.Address, &pin)
		}
	}
	d.sendToTarget(worker, inbound, offset, pick.snapshot, target, true)
}

// mayBeKnownElsewhere reports whether this daemon has no pin for the flow and started so recently that the previous
// owner may still have one.
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

// replicate sends the pin to the requester if that is the flow's owner.
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

// takePin stores a pin received from another daemon. A local pin takes precedence.
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
