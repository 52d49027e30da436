package node

import (
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

// decide is the snapshot's decision, or a baseline's in its place.
func (d *dataPlane) decide(snapshot *steering.Snapshot, packet *steering.Packet, isOwner bool, memory *workerContext) steering.Decision {
	switch d.mode {
	case ModeModulo, ModeRendezvous, ModeRandom:
		return d.decideByHash(snapshot, packet, memory)
	}
	decision := snapshot.Decide(packet, isOwner, &memory.scratch)
	if d.mode == ModeNoOwner && decision.Action == steering.HandOver {
		decision.Action = steering.Decide
	}
	return decision
}

// decideByHash routes every packet by its address pair alone, as a balancer
// without routable IDs does, or at random, as a broken one does.
func (d *dataPlane) decideByHash(snapshot *steering.Snapshot, packet *steering.Packet, memory *workerContext) steering.Decision {
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
		return d.decideAtRandom(snapshot, service, memory)
	}
	return steering.Decision{Action: steering.Forward, Service: service, Target: service.Targets[index], IsFirstFlight: true}
}

// decideAtRandom also crosses services now and then, which nothing may do.
func (d *dataPlane) decideAtRandom(snapshot *steering.Snapshot, service *steering.Service, memory *workerContext) steering.Decision {
	if memory.random.IntN(10) == 0 {
		for _, other := range snapshot.Services() {
			if other != service && other.Protocol == catalog.ProtocolQUIC && len(other.Targets) > 0 {
				service = other
				break
			}
		}
	}
	target := service.Targets[memory.random.IntN(len(service.Targets))]
	return steering.Decision{Action: steering.Forward, Service: service, Target: target, IsFirstFlight: true}
}
