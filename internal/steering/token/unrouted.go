package token

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// confirmationMargin is by how much a confirmation must be later than a moment for the
	// confirmed view to be that of no earlier one. A confirmation counts from when its
	// answer was taken in: an answer may stop for 0.4 s (followed.Config.Slack), and what is
	// told between daemons may wait for 0.4 s in one that stands still and is not noticed
	// (the pause after which ages are not believed); 0.2 s are for the way.
	confirmationMargin = time.Second
	// unroutedSilence is after how long without a packet a flow is forgotten: longer than
	// the pauses of a caller between two sends (1.6 s). A later reset could meet another
	// flow from the same port.
	unroutedSilence = 2 * time.Second
	// mostUnrouted bounds the flows that are noted. Beyond, a flow is noted with a later
	// packet.
	mostUnrouted = 1024
)

// OpenSince returns when a flow without a route was open at the latest, as far as this
// daemon knows: when its data first came here while the route stood, else now. A reset that
// waits for nothing else is sent at once then.
func (r *Requests) OpenSince(now time.Time, decision *Decision, packet *Packet) time.Time {
	if decision.Route == nil {
		return now
	}
	return r.open.dataSince(now, hashOf(packet), decision.Route.Number, decision.Target.Token)
}

// Unrouted are flows whose words name targets that are known, at addresses to which no
// route is. A word says that a configuration listed the route before the packet came. So
// the route is either newer than what is known here, or was dropped, and the flow with it:
// once the store has confirmed a view without the route as of a moment at which the flow
// was open already, it was dropped. No memory of earlier configurations is needed, so that
// a daemon that was restarted resets such flows as all others do. That the route is known to
// have been dropped would not do: it may have come back, and a daemon that learns of it late
// would reset flows that were opened since. One goroutine at a time may use it.
type Unrouted struct {
	flows map[addressPair]unroutedFlow
}

type addressPair struct{ caller, destination netip.AddrPort }

// unroutedFlow is what a flow's reset needs.
type unroutedFlow struct {
	// openAt is when the flow was open already, last is when its last packet came.
	openAt, last time.Time
	// head is of the last packet.
	head Packet
}

// NewUnrouted makes an empty table.
func NewUnrouted() *Unrouted { return &Unrouted{flows: map[addressPair]unroutedFlow{}} }

// Len returns how many flows are noted.
func (u *Unrouted) Len() int { return len(u.flows) }

// Note takes in a packet that was decided on with ReasonUnconfirmedRoute, of a flow that
// was open at a time.
func (u *Unrouted) Note(now, openAt time.Time, packet *Packet) {
	pair := addressPair{packet.Source, packet.Destination}
	flow, isKnown := u.flows[pair]
	if !isKnown && len(u.flows) >= mostUnrouted {
		return
	}
	if !isKnown || now.Sub(flow.last) >= unroutedSilence {
		flow.openAt = openAt
	}
	flow.last, flow.head = now, *packet
	u.flows[pair] = flow
}

// TakeDropped takes in that the store confirmed the view of a table as of a time. It
// returns for each flow whose route was dropped the head of the packet that a reset
// answers, and forgets the flows that are decided and those that are silent.
func (u *Unrouted) TakeDropped(now, confirmedAt time.Time, table *Table) []Packet {
	var dropped []Packet
	for pair, flow := range u.flows {
		switch {
		case table.routes[pair.destination] != nil || now.Sub(flow.last) >= unroutedSilence:
		case confirmedAt.Before(flow.openAt.Add(confirmationMargin)):
			continue
		default:
			dropped = append(dropped, flow.head)
		}
		delete(u.flows, pair)
	}
	slices.SortFunc(dropped, func(a, b Packet) int { // in a fixed order, for seeded runs
		return cmp.Or(a.Source.Compare(b.Source), a.Destination.Compare(b.Destination))
	})
	return dropped
}
