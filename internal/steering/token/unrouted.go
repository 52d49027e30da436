package token

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// confirmationMargin is how much later than a moment a store confirmation must be to rule out
	// that the confirmed view is older than that moment. Confirmations are timed by when their
	// answer was processed: an answer may be delayed by 0.4 s (followed.Config.Slack), a
	// message between daemons by another 0.4 s in a daemon whose pause is too short to be
	// detected, and 0.2 s are for the network.
	confirmationMargin = time.Second
	// unroutedIdleTimeout is the idle time after which a flow is forgotten. It exceeds the
	// interval between two transmissions of a caller (1.6 s); a later reset could hit another flow
	// from the same port.
	unroutedIdleTimeout = 2 * time.Second
	// maxUnrouted is the maximum number of flows kept. Beyond it, flows are added with a later
	// packet.
	maxUnrouted = 1024
)

// OpenSince returns a time at which a flow without a route was certainly open: when its data first
// arrived while the route existed, else now. In the former case the reset can often be sent at
// once.
func (r *Requests) OpenSince(now time.Time, decision *Decision, packet *Packet) time.Time {
	if decision.Route == nil {
		return now
	}
	return r.flows.dataSince(now, flowHash(packet), decision.Route.Number, decision.Target.Token)
}

// Unrouted tracks flows with valid tokens at addresses without a known route. A valid token shows
// that some configuration had the route before the packet arrived. So the route is either too new
// to be known here, or it was removed and the flow must be reset. Once the store has confirmed a
// view without the route, as of a time at which the flow was open, the route was removed.
//
// This needs no history of configurations, so a restarted daemon resets such flows like all
// others. That the route was removed at some time isn't sufficient: it may have been added again,
// and a daemon that learns of it late would reset flows opened since. Unrouted is not safe for
// concurrent use.
type Unrouted struct {
	flows map[addressPair]unroutedFlow
}

type addressPair struct{ caller, destination netip.AddrPort }

// unroutedFlow holds what is needed to reset a flow.
type unroutedFlow struct {
	// openAt is a time at which the flow was open, lastPacketAt when its latest packet
	// arrived.
	openAt, lastPacketAt time.Time
	// header is the header of the latest packet.
	header Packet
}

func NewUnrouted() *Unrouted { return &Unrouted{flows: map[addressPair]unroutedFlow{}} }

// Len returns the number of tracked flows.
func (u *Unrouted) Len() int { return len(u.flows) }

// Record records a packet with a decision of ReasonUnconfirmedRoute, of a flow that was open at
// openAt.
func (u *Unrouted) Record(now, openAt time.Time, packet *Packet) {
	pair := addressPair{packet.Source, packet.Destination}
	flow, isKnown := u.flows[pair]
	if !isKnown && len(u.flows) >= maxUnrouted {
		return
	}
	if !isKnown || now.Sub(flow.lastPacketAt) >= unroutedIdleTimeout {
		flow.openAt = openAt
	}
	flow.lastPacketAt, flow.header = now, *packet
	u.flows[pair] = flow
}

// TakeDropped handles a confirmation by the store that the table's view was current at
// confirmedAt. For each flow whose route was removed it returns the packet header to answer with
// a reset. Such flows are forgotten, as are idle ones and those whose route is known now.
func (u *Unrouted) TakeDropped(now, confirmedAt time.Time, table *Table) []Packet {
	var dropped []Packet
	for pair, flow := range u.flows {
		switch {
		case table.routes[pair.destination] != nil || now.Sub(flow.lastPacketAt) >= unroutedIdleTimeout:
		case confirmedAt.Before(flow.openAt.Add(confirmationMargin)):
			continue
		default:
			dropped = append(dropped, flow.header)
		}
		delete(u.flows, pair)
	}
	slices.SortFunc(dropped, func(a, b Packet) int { // deterministic order for seeded simulations
		return cmp.Or(a.Source.Compare(b.Source), a.Destination.Compare(b.Destination))
	})
	return dropped
}
