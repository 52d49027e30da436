package simulation

import (
	"time"

	"github.com/passtray/passtray/internal/steering/token"
)

// handleReset handles a reset that a daemon sent to a caller. An open flow to a live target may be
// reset only if its route was removed.
func (m *FlowModel) handleReset(flow *Flow, reason token.Reason) {
	isOpen := flow.Opened && !flow.Ended && flow.Target.isServing() && !m.PausedTargets[flow.Target]
	if isOpen && m.hasKeptRoute(flow) {
		m.recordViolation("FLOW: an open flow to target %s was reset: %s", flow.Target.Key, reason)
	}
	if isOpen && reason == token.ReasonDroppedRoute {
		m.Resets++
	}
	if flow.Opened && !flow.Ended && !flow.requestedAt.IsZero() {
		m.ResetDelays = append(m.ResetDelays, m.Clock.Now().Sub(flow.requestedAt))
	}
	flow.Ended = true
}

// hasKeptRoute reports whether a flow's address has always had a route since the flow began.
func (m *FlowModel) hasKeptRoute(flow *Flow) bool {
	since, isListed := m.routedSince[flow.Route]
	return isListed && !since.After(flow.StartedAt)
}

// checkForwarded checks that a daemon doesn't drop a packet of an open flow if it knows the target
// and has a route for the address, whatever service that route leads to now.
func (m *FlowModel) checkForwarded(flow *Flow, daemon int, path *dataPath, decision *token.Decision) {
	isDropped := decision.Action == token.Drop || decision.Action == token.Hold
	if _, isKnown := path.table.AddressOf(flow.Target.Identifier); !isDropped || !isKnown || !path.table.HasRoute(flow.Route) {
		return
	}
	m.recordViolation("MEMORY: daemon %d dropped a packet of a flow to known target %s: %s", daemon, flow.Target.Key, decision.Reason)
}

// isUndisturbed reports whether bounds apply to a daemon.
func (m *FlowModel) isUndisturbed(daemon int) bool {
	isCutOff := m.IsIsolated != nil && m.IsIsolated(daemon)
	return !isCutOff && m.Clock.Now().Sub(m.Daemons[daemon].DisturbedAt) >= 4*time.Second
}

func (m *FlowModel) checkRoute(flow *Flow, daemon int, target *FlowTarget, sentAt time.Time) {
	allowed := m.allowed[flow.Route][target.Service]
	if allowed == nil {
		m.recordViolation("ROUTE: target %s of service %s got a flow to %s", target.Key, target.Service, flow.Route)
		return
	}
	isLate := !allowed.until.IsZero() && sentAt.Sub(allowed.until) > drainBound
	if isLate && m.isUndisturbed(daemon) && m.StoreIsStable() {
		m.recordViolation("CONFIG: daemon %d sends flows to service %s %s after it was removed from the route", daemon, target.Service, sentAt.Sub(allowed.until))
	}
}

func (m *FlowModel) checkDrain(daemon int, target *FlowTarget) {
	if target.LeavingAt.IsZero() || !m.isUndisturbed(daemon) || !m.StoreIsStable() {
		return
	}
	if late := m.Clock.Now().Sub(target.LeavingAt); late > drainBound {
		m.recordViolation("DRAIN: daemon %d sent a new flow to target %s %s after it began to leave", daemon, target.Key, late)
	}
}

// checkEvacuation checks that a daemon sends no new flows to an evacuated zone.
func (m *FlowModel) checkEvacuation(daemon int, target *FlowTarget) {
	since, isEvacuated := m.evacuated[target.Zone]
	if !isEvacuated || !m.isUndisturbed(daemon) || !m.StoreIsStable() {
		return
	}
	if late := m.Clock.Now().Sub(since); late > evacuationBound {
		m.recordViolation("EVAC: daemon %d sent a new flow to target %s %s after zone %s was evacuated", daemon, target.Key, late, target.Zone)
	}
}

// StoreIsStable reports whether the store has been healthy for long enough for bounds to apply.
func (m *FlowModel) StoreIsStable() bool {
	return m.Store.State == StoreHealthy && m.Clock.Now().Sub(m.Store.DisturbedAt) >= 4*time.Second
}
