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

// rendezvousIndex returns the index of the target selected by rendezvous hashing, or -1 if there is none.
func (p *picker) rendezvousIndex() int { return ownership.Rendezvous(p.key.Hash, p.service.Nodes) }

// differsFromHash reports whether the pinned target differs from the one selected by the hash, so that an owner without
// the pin would move the flow.
func (p *picker) differsFromHash(pin *ownership.Pin) bool {
	index := p.rendezvousIndex()
	return index >= 0 && uint32(p.service.Targets[index].Number) != pin.Target
}

// pickAndSendUDP is pickAndSend for plain UDP. Every packet of the flow passes its owner, whose pin alone keeps the
// flow on its target. Only pins that differ from the hash are replicated: for all others, the next owner computes the
// same target.
func (d *dataPlane) pickAndSendUDP(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, pick *picker, isOwner bool) {
	if !isOwner && d.mayBePinnedElsewhere(pick) {
		if previous := pick.snapshot.NextOwner(pick.key); previous != nil {
			d.counters.handedOver.Add(1)
			d.handOver(worker, inbound, offset, previous)
			return
		}
	}
	var shouldReplicate bool
	pin, stored := d.udpFlows.Update(pick.now, pick.key, func(current ownership.Pin, found bool) (ownership.Pin, bool) {
		pin, store := pick.decide(current, found)
		shouldReplicate = store && pick.differsFromHash(&pin) && pick.now.Sub(pin.Replicated) > replicateInterval
		if shouldReplicate {
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
		d.replicateToOwner(worker, pick, inbound.Source, &pin)
	}
	if shouldReplicate {
		if next := pick.snapshot.NextOwner(pick.key); next != nil {
			d.replicateTo(worker, pick, next.Address, &pin)
		}
	}
	d.sendToTarget(worker, inbound, offset, pick.snapshot, target, true)
}

// mayBePinnedElsewhere reports whether this daemon has no pin for the flow and started so recently that the previous
// owner may still have one.
func (d *dataPlane) mayBePinnedElsewhere(pick *picker) bool {
	if pick.now.Sub(d.started) > d.udpIdle {
		return false
	}
	known := false
	d.udpFlows.Update(pick.now, pick.key, func(current ownership.Pin, found bool) (ownership.Pin, bool) {
		known = found
		return current, false
	})
	return !known
}

// replicateToOwner sends the pin to the requester if that is the flow's owner.
func (d *dataPlane) replicateToOwner(worker *forwarding.Worker, pick *picker, requester netip.AddrPort, pin *ownership.Pin) {
	owner := pick.snapshot.Owner(pick.key)
	if owner != nil && !owner.IsSelf && owner.Address == requester {
		d.replicateTo(worker, pick, requester, pin)
	}
}

func (d *dataPlane) replicateTo(worker *forwarding.Worker, pick *picker, to netip.AddrPort, pin *ownership.Pin) {
	wctx := worker.Context.(*workerContext)
	d.counters.replicated.Add(1)
	header := encapsulation.Header{
		Kind: encapsulation.KindReplicatePin, Caller: wctx.header.Caller, Service: wctx.header.Service,
		ServiceNumber: uint32(pick.service.Number), TargetNumber: pin.Target,
	}
	worker.Send(d.backend, to, encapsulation.Append(nil, &header))
}

// storePin stores a pin received from another daemon. A local pin takes precedence.
func (d *dataPlane) storePin(header *encapsulation.Header) {
	now := time.Now()
	key := ownership.KeyOfCaller(header.ServiceNumber, header.Caller)
	d.udpFlows.Update(now, key, func(current ownership.Pin, found bool) (ownership.Pin, bool) {
		if found {
			return current, true
		}
		return ownership.Pin{Target: header.TargetNumber, Created: now}, true
	})
}
