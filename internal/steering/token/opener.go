package token

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/outlier"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/storeview"
)

const (
	// minRetransmitAge is the minimum age of a pick at which another first packet counts as a
	// retransmission by the caller, meaning that the target did not respond, and not as a
	// duplicate made by the network.
	minRetransmitAge = 100 * time.Millisecond
	// ejectAfterUnanswered is how many first packets in a row must be unanswered before a target
	// is ejected. Each daemon sees only its part of the flows, so a higher threshold would delay
	// many callers.
	ejectAfterUnanswered = 1
	// leavingMargin is the time for a first packet to reach its target.
	leavingMargin = 250 * time.Millisecond
	// maxRetries is how often a flow may be steered to another target.
	maxRetries = 2
)

// Opener steers the first packets of flows. It is not safe for concurrent use.
type Opener struct {
	zone         string
	random       *rand.Rand
	pins         *ownership.Table
	leavingGrace time.Duration
	// leavingBound is how long after a target began to leave it may get new flows, 0 for no limit.
	leavingBound time.Duration
	// suspect are the targets that left a first packet unanswered.
	suspect []FailureEvidence
	// expiryWindow is the period in which entries of running targets may be missing.
	expiryWindow storeview.ExpiryWindow
	// daemons is the number of daemons that share the targets' capacity. atLimit is set if the
	// last pick found only targets at their limit.
	daemons int
	atLimit bool
	// overloaded is the service of the last pick if it rejected the flow for overload.
	overloaded *Service
	// openCountsKnown is set once the numbers of open flows at targets are known.
	openCountsKnown bool
	// The following fields are the state of the current pick, kept here so that a pick doesn't
	// allocate.
	now                          time.Time
	request                      balance.Request
	sources                      [2]balance.Source[*Target]
	picker                       balance.Picker[*Target]
	allowsExpired, allowsLeaving func(target *Target) bool
}

// NewOpener returns an opener that stores flow assignments in pins. Targets that are draining or
// gone may get new flows for leavingGrace after that was learned, if no other target is left.
func NewOpener(zone string, random *rand.Rand, pins *ownership.Table, leavingGrace time.Duration) *Opener {
	opener := &Opener{zone: zone, random: random, pins: pins, leavingGrace: leavingGrace}
	opener.allowsExpired, opener.allowsLeaving = opener.mayHaveExpired, opener.mayUseLeaving
	return opener
}

// SetLeavingBound sets how long after a target began to leave new flows may reach it, however late
// that was learned. The leaving grace period is limited by it.
func (o *Opener) SetLeavingBound(bound time.Duration) { o.leavingBound = bound - leavingMargin }

// SetExpiryWindow sets the period in which entries of running targets may be missing.
func (o *Opener) SetExpiryWindow(expiryWindow storeview.ExpiryWindow) { o.expiryWindow = expiryWindow }

// SetDaemons sets the number of daemons, including this one, that share the targets' capacity.
func (o *Opener) SetDaemons(count int) { o.daemons = count }

// SetOpenCountsKnown declares that the numbers of open flows at targets are known from now on.
func (o *Opener) SetOpenCountsKnown() { o.openCountsKnown = true }

// HoldIfMissing changes a decision that failed for want of a target to Hold while entries of running
// targets may be missing from the store.
func (o *Opener) HoldIfMissing(now time.Time, decision Decision) Decision {
	switch decision.Reason {
	case ReasonNoTarget, ReasonEvacuated, ReasonUnknownToken:
		if o.expiryWindow.IsOpen(now) {
			decision.Action = Hold
		}
	}
	return decision
}

// Open steers the first packet of a flow. Retransmissions go to the same target while it may still
// respond, and to another one once it is considered unresponsive. That is safe: nothing was
// processed.
func (o *Opener) Open(now time.Time, table *Table, packet *Packet) Decision {
	route := table.routes[packet.Destination]
	if route == nil {
		return Decision{Action: Refuse, Reason: ReasonNoRoute}
	}
	decision := Decision{Action: Forward, Reason: ReasonFirstPacket, Route: route}
	o.overloaded = nil
	o.now = now
	o.pins.Update(now, flowKey(route, packet), func(pin ownership.Pin, found bool) (ownership.Pin, bool) {
		if found {
			return o.steerRetransmission(now, table, &decision, pin)
		}
		decision.Target = o.pickForBackend(now, table, route, route.backendFor(packet.Service, o.random), nil)
		return o.assign(now, &decision, ownership.Pin{})
	})
	switch {
	case decision.Target != nil:
		return decision
	case decision.Reason == ReasonEvacuated, decision.Reason == ReasonLeavingTarget:
		return Decision{Reason: decision.Reason, Route: route}
	case o.overloaded != nil:
		return Decision{Action: Hold, Reason: ReasonOverload, Route: route, load: o.overloaded.Load, Service: o.overloaded.Name}
	case o.atLimit:
		return Decision{Action: Hold, Reason: ReasonAtLimit, Route: route}
	case table.isEvacuated(route):
		// An evacuation may last long: refuse at once instead of holding the packet.
		return Decision{Action: Refuse, Reason: ReasonEvacuated, Route: route}
	}
	return Decision{Action: Refuse, Reason: ReasonNoTarget, Route: route}
}

// isEvacuated reports whether an evacuation order keeps targets of a route from new flows.
func (t *Table) isEvacuated(route *Route) bool {
	return slices.ContainsFunc(route.Backends, func(backend storeview.Backend) bool {
		service := t.services[backend.Service]
		return service != nil && backend.Weight > 0 && service.evacuated > 0
	})
}

func flowKey(route *Route, packet *Packet) ownership.FlowKey {
	return ownership.FlowKey{Service: route.Number, Caller: packet.Source}
}

// steerRetransmission steers a retransmitted first packet.
func (o *Opener) steerRetransmission(now time.Time, table *Table, decision *Decision, pin ownership.Pin) (ownership.Pin, bool) {
	suspect := table.index.find(pin.Target)
	if suspect != nil && suspect.IsEvacuated {
		return o.steerFromEvacuated(now, table, decision, pin)
	}
	if suspect != nil && o.isClosed(suspect) {
		return o.steerFromLeaving(now, table, decision, pin)
	}
	isRetransmission := now.Sub(pin.Created) >= minRetransmitAge || suspect != nil && suspect.isDead(now)
	if suspect != nil && (pin.Answered || !isRetransmission || pin.Retries >= maxRetries) {
		decision.Reason = ReasonRetransmission
		decision.Target = suspect
		return pin, true
	}
	decision.Reason = ReasonUnresponsiveTarget
	if suspect != nil {
		suspect.Signal.RecordNoResponse(now, ejectAfterUnanswered)
		table.trackUnavailable(suspect)
		o.suspect = append(o.suspect, FailureEvidence{Target: suspect.Identifier, Evidence: outlier.Weak})
	}
	decision.Target = o.pick(now, table, decision.Route, suspect)
	if decision.Target == nil {
		decision.Target = suspect
	}
	pin.Retries++
	return o.assign(now, decision, pin)
}

// steerFromEvacuated steers a retransmitted first packet whose target is in a zone that was
// evacuated since. A flow that may be open at that target gets no reply, because a reset would end
// it.
func (o *Opener) steerFromEvacuated(now time.Time, table *Table, decision *Decision, pin ownership.Pin) (ownership.Pin, bool) {
	decision.Reason = ReasonEvacuated
	if pin.Answered {
		return pin, true
	}
	decision.Target = o.pick(now, table, decision.Route, nil)
	return o.assign(now, decision, pin)
}

// steerFromLeaving steers a retransmitted first packet whose target must not get new flows any more
// since it leaves. As with evacuated targets, an open flow gets no reply.
func (o *Opener) steerFromLeaving(now time.Time, table *Table, decision *Decision, pin ownership.Pin) (ownership.Pin, bool) {
	if pin.Answered {
		decision.Reason = ReasonLeavingTarget
		return pin, true
	}
	decision.Target = o.pick(now, table, decision.Route, nil)
	return o.assign(now, decision, pin)
}

// TakeUnresponsive returns the targets that left first packets unanswered since the last call.
func (o *Opener) TakeUnresponsive() []FailureEvidence {
	suspect := o.suspect
	o.suspect = nil
	return suspect
}

func (o *Opener) assign(now time.Time, decision *Decision, pin ownership.Pin) (ownership.Pin, bool) {
	if decision.Target == nil {
		return pin, false
	}
	decision.Target.Signal.RecordPick(now)
	decision.Target.Load.Opened(now, decision.Route.rank)
	pin.Target = decision.Target.Token
	pin.Created = now
	return pin, true
}

// RecordResponse records that a caller has received a reply from its target. This counts as activity
// of the target, and retransmissions of the flow's first packet stay with it.
func (o *Opener) RecordResponse(now time.Time, decision *Decision, packet *Packet) {
	if o.pins.MarkAnswered(decision.Route.Number, packet.Source, decision.Target.Token) {
		decision.Target.Signal.RecordResponse()
		decision.Target.Signal.RecordActivity(now)
		decision.Target.Signal.RecordOpened(now)
		decision.Target.Load.Established(now, decision.Route.rank)
	}
}
