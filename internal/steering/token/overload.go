package token

import (
	"slices"
	"time"

	"github.com/passtray/passtray/internal/outlier"
	"github.com/passtray/passtray/internal/overload"
)

// Rank returns the priority class of the route's work.
func (r *Route) Rank() overload.Rank { return r.rank }

// Hold returns the maximum time a packet on the route may wait for capacity of its service.
func (r *Route) Hold(packet *Packet) time.Duration {
	if packet.IsOpening {
		return r.maxHold
	}
	return r.maxDataHold
}

// Load returns the overload controller of the decision's service, nil if there is none.
func (d *Decision) Load() *overload.Controller {
	if d.Target != nil {
		return d.Target.Load
	}
	return d.load
}

// HoldIfOverloaded changes a decision to Hold if the packet would add work to an overloaded service.
// waited is how long the packet has been held already.
//
// A new flow that has waited for its maximum time is refused: nothing was processed, and its
// caller still has time to retry. A request of ordinary rank on an open flow is forwarded then,
// since a reset would break a flow whose target is healthy.
func (r *Requests) HoldIfOverloaded(now time.Time, decision Decision, packet *Packet, waited time.Duration) Decision {
	if decision.Route == nil {
		return decision
	}
	hasWaited := waited >= decision.Route.Hold(packet)
	switch {
	case decision.Reason == ReasonOverload && hasWaited:
		decision.Action = Refuse
	case packet.IsOpening || decision.Action != Forward || hasWaited || decision.Route.rank != overload.Ordinary:
	case !r.StartsRequest(&decision, packet) || decision.Target.Load.Admit(now, overload.Ordinary):
	default:
		decision.Action, decision.Reason = Hold, ReasonOverload
	}
	return decision
}

// SetOverloadShares sets the number of daemons among which the work of each service is divided, 0 if
// unknown.
func (o *Opener) SetOverloadShares(now time.Time, table *Table, daemons int) {
	for _, service := range table.services {
		service.Load.SetShare(o.liveSlots(now, service), daemons)
	}
}

// liveSlots returns the slots of the targets that receive work: those neither dead nor ejected or,
// if all are ejected, those not dead, since they get the flows then.
func (o *Opener) liveSlots(now time.Time, service *Service) int {
	live, ejected := service.eligible.Slots(now)
	service.leaving.Slots(now) // called for its side effect: it prunes the pool's watch list
	if o.expiryWindow.IsOpen(now) {
		o.now = now
		for _, entry := range service.leaving.Entries() {
			if o.mayHaveExpired(entry.Value) && !entry.Signal.IsDead(now) {
				live += int(entry.Slots)
			}
		}
	}
	if live == 0 {
		return ejected
	}
	return live
}

// EachLoad calls visit with the overload controller of each service.
func (t *Table) EachLoad(visit func(service string, load *overload.Controller)) {
	for name, service := range t.services {
		visit(name, service.Load)
	}
}

// FilterEvidence filters out weak evidence against targets of overloaded services: it reflects the
// overload, not a failure of a single target.
func (t *Table) FilterEvidence(now time.Time, evidence []FailureEvidence) []FailureEvidence {
	return slices.DeleteFunc(evidence, func(unanswered FailureEvidence) bool {
		target := t.targetByIdentifier(unanswered.Target)
		if target == nil || unanswered.Evidence != outlier.Weak {
			return false
		}
		_, isBounded := target.Load.Limit(now)
		return isBounded
	})
}
