package steering

import (
	"net/netip"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/ownership"
)

// Action is what to do with a packet.
type Action uint8

const (
	// Drop the packet; Reason says why.
	Drop Action = iota
	// Forward the packet to Target.
	Forward
	// HandOver sends the packet to the flow's owner, Owner.
	HandOver
	// Decide: this daemon owns the flow Key and selects the target.
	Decide
)

// Reason is why a packet was dropped. Its string is a metric label.
type Reason uint8

const (
	ReasonNone Reason = iota
	ReasonMalformed
	ReasonUnknownService
	ReasonUnroutable
	ReasonForeignService
	ReasonTargetGone
	ReasonShortInitial
	ReasonNoOwner
	ReasonForeignSource
	ReasonNoTarget
	ReasonAdmission
	ReasonOversized
	ReasonNotOurs
	ReasonNotCaughtUp

	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "malformed", "unknown_service", "unroutable", "foreign_service", "target_gone", "short_initial",
	"no_owner", "foreign_source", "no_target", "admission", "oversized", "not_ours", "not_caught_up",
}

// String returns the reason's metric label.
func (r Reason) String() string { return reasonNames[r] }

// Packet is a packet from a caller.
type Packet struct {
	Service netip.AddrPort
	Caller  netip.AddrPort
	Payload []byte
}

// Decision is how to handle a packet.
type Decision struct {
	Action  Action
	Reason  Reason
	Service *Service
	Target  *Target
	Owner   *Daemon
	Key     ownership.FlowKey
	// IsFirstFlight marks a packet without a routable connection ID.
	IsFirstFlight bool
}

// Decide returns how to handle a packet. isOwner is set if another daemon has handed the packet
// over: it is then decided here regardless of this daemon's view of the members, so that daemons
// with different views don't hand it back and forth.
func (s *Snapshot) Decide(packet *Packet, isOwner bool, scratch *connectionid.Scratch) Decision {
	service := s.services[packet.Service]
	if service == nil {
		return Decision{Reason: ReasonUnknownService}
	}
	if service.Protocol == catalog.ProtocolUDP {
		return s.decideByOwner(service, ownership.KeyOfCaller(uint32(service.Number), packet.Caller), isOwner)
	}
	var header quicHeader
	if !parseQUIC(packet.Payload, connectionid.Length, &header) {
		return Decision{Reason: ReasonMalformed, Service: service}
	}
	if route, routable := s.Keyring.Decode(header.destinationID, scratch); routable {
		return s.forwardByID(service, route)
	}
	if !header.mayStartFlow() {
		return Decision{Reason: ReasonUnroutable, Service: service}
	}
	if header.needsFullSize() && len(packet.Payload) < minInitialBytes {
		return Decision{Reason: ReasonShortInitial, Service: service}
	}
	return s.decideByOwner(service, ownership.KeyOfID(uint32(service.Number), packet.Caller, header.destinationID), isOwner)
}

// forwardByID forwards a packet according to its connection ID, provided that the target belongs
// to the service that the packet is addressed to.
func (s *Snapshot) forwardByID(service *Service, route connectionid.Route) Decision {
	if route.Service != uint32(service.Number) {
		return Decision{Reason: ReasonForeignService, Service: service}
	}
	target := s.targets[route.Target]
	if target == nil {
		return Decision{Reason: ReasonTargetGone, Service: service}
	}
	if target.Service != service {
		return Decision{Reason: ReasonForeignService, Service: service}
	}
	return Decision{Action: Forward, Service: service, Target: target}
}

func (s *Snapshot) decideByOwner(service *Service, key ownership.FlowKey, isOwner bool) Decision {
	decision := Decision{Action: Decide, Service: service, Key: key, IsFirstFlight: true}
	if isOwner {
		return decision
	}
	owner := s.Owner(key)
	if owner == nil {
		return Decision{Reason: ReasonNoOwner, Service: service}
	}
	if !owner.IsSelf {
		decision.Action = HandOver
		decision.Owner = owner
	}
	return decision
}
