package node

import (
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

// decide applies the configured steering mode: the snapshot's decision, or that of a lab baseline.
func (d *dataPlane) decide(snapshot *steering.Snapshot, packet *steering.Packet, isOwner bool, wctx *workerContext) steering.Decision {
	switch d.mode {
	case ModeModulo, ModeRendezvous, ModeRandom:
		return d.decideByHash(snapshot, packet, wctx)
	}
	decision := snapshot.Decide(packet, isOwner, &wctx.scratch)
	if d.mode == ModeNoOwner && decision.Action == steering.HandOver {
		decision.Action = steering.Decide
	}
	return decision
}

// decideByHash selects the target by a hash of the address pair, as a load balancer without routable
// connection IDs does, or at random in ModeRandom.
func (d *dataPlane) decideByHash(snapshot *steering.Snapshot, packet *steering.Packet, wctx *workerContext) steering.Decision {
	service := snapshot.Service(packet.Service)
	if service == nil {
		return steering.Decision{Reason: steering.ReasonUnknownService}
	}
	if len(service.Targets) == 0 {
		return steering.Decision{Reason: steering.ReasonNoTarget, Service: service}
	}
	key := ownership.KeyOfCaller(uint32(service.Number), packet.Caller)
	index := int(key.Hash % uint64(len(service.Targets)))
	switch d.mode {
	case ModeRendezvous:
		index = ownership.Rendezvous(key.Hash, service.Nodes)
	case ModeRandom:
		return d.decideAtRandom(snapshot, service, wctx)
	}
	return steering.Decision{Action: steering.Forward, Service: service, Target: service.Targets[index], IsFirstFlight: true}
}

// decideAtRandom selects a random target. For one packet in ten it is a target of another service, which violates an
// invariant that the lab's checkers must detect.
func (d *dataPlane) decideAtRandom(snapshot *steering.Snapshot, service *steering.Service, wctx *workerContext) steering.Decision {
	if wctx.random.IntN(10) == 0 {
		for _, other := range snapshot.Services() {
			if other != service && other.Protocol == catalog.ProtocolQUIC && len(other.Targets) > 0 {
				service = other
				break
			}
		}
	}
	target := service.Targets[wctx.random.IntN(len(service.Targets))]
	return steering.Decision{Action: steering.Forward, Service: service, Target: target, IsFirstFlight: true}
}
