package storelab

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Bounds are the time limits of the invariants.
type Bounds struct {
	// Converge is the maximum time until a new configuration is active, Drain the maximum time for
	// which a draining target may get new flows.
	Converge, Drain time.Duration
	// Settle is the time after a fault during which the bounds above aren't checked.
	Settle time.Duration
	// Response is the time after a fault until requests on open flows must be answered again.
	Response time.Duration
	// Recover is the maximum time from the last fault until callers are served again.
	Recover time.Duration
}

// minServedShare is the fraction of requests that must be answered after recovery.
const minServedShare = 0.9

// Verdict is the result of checking one invariant.
type Verdict struct {
	Invariant string
	// Checked counts the events that the invariant applied to. If it is 0, the run proves nothing about it.
	Checked    int
	Violations []string
}

func (v *Verdict) addViolation(event *Event, format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf("%.3f s: ", event.At.Seconds())+fmt.Sprintf(format, args...))
}

// The invariants.
const (
	AllowedServices           = "flows open only at services that a configuration allowed"
	ConfigurationActiveInTime = "a new configuration is active within its bound"
	DrainingTargetGetsNoFlows = "a draining target gets no new flows"
	OpenFlowsAreNotReset      = "no open flow of a live target is reset"
	OpenFlowsAreAnswered      = "requests on open flows of live targets are answered"
	ResponsesMatchRequests    = "callers receive only responses to their own requests"
	AtMostOnce                = "non-idempotent requests run at most once, and no request runs that was not sent"
	RecoversAfterFaults       = "callers are served again after the last fault"
	NoUnexpectedExits         = "no daemon exits unexpectedly"
)

// routeService is a route and one of its services.
type routeService struct {
	route   netip.AddrPort
	service string
}

// checker is the state of Check while it processes the events in order.
type checker struct {
	bounds   Bounds
	verdicts map[string]*Verdict
	// removedAt is when a service was removed from a route, negative while the route has it.
	// Services that a route never had are missing.
	removedAt     map[routeService]time.Duration
	drainingSince map[uint64]time.Duration
	endedAt       map[uint64]time.Duration
	// routedSince is since when a route has had a service without interruption; it doesn't
	// contain routes without one.
	routedSince map[netip.AddrPort]time.Duration
	openFlows   map[Flow]Event
	sent        map[uint64]Event
	ranAt       map[uint64][]uint64
	// faultsOverAt is the end of the last fault so far.
	faultsOverAt time.Duration
}

// Check verifies all invariants against the events of a run, which must be sorted by time.
func Check(bounds Bounds, events []Event) []Verdict {
	c := &checker{
		bounds: bounds, verdicts: map[string]*Verdict{},
		removedAt: map[routeService]time.Duration{}, drainingSince: map[uint64]time.Duration{}, endedAt: map[uint64]time.Duration{},
		routedSince: map[netip.AddrPort]time.Duration{}, openFlows: map[Flow]Event{}, sent: map[uint64]Event{}, ranAt: map[uint64][]uint64{},
	}
	names := []string{AllowedServices, ConfigurationActiveInTime, DrainingTargetGetsNoFlows, OpenFlowsAreNotReset, OpenFlowsAreAnswered, ResponsesMatchRequests, AtMostOnce, RecoversAfterFaults, NoUnexpectedExits}
	for _, name := range names {
		c.verdicts[name] = &Verdict{Invariant: name}
	}
	for index := range events {
		c.process(&events[index])
	}
	c.checkServed(events)
	var verdicts []Verdict
	for _, name := range names {
		verdicts = append(verdicts, *c.verdicts[name])
	}
	return verdicts
}

func (c *checker) process(event *Event) {
	switch event.Kind {
	case RouteAllowed:
		if !c.hasService(event.Flow.Route) {
			c.routedSince[event.Flow.Route] = event.At
		}
		c.removedAt[routeService{event.Flow.Route, event.Service}] = -1
	case RouteForbidden:
		c.removedAt[routeService{event.Flow.Route, event.Service}] = event.At
		c.countIfSettled(ConfigurationActiveInTime, event)
		if !c.hasService(event.Flow.Route) {
			delete(c.routedSince, event.Flow.Route)
		}
	case TargetDraining:
		c.drainingSince[event.Target] = event.At
		c.countIfSettled(DrainingTargetGetsNoFlows, event)
	case TargetEnded:
		c.endedAt[event.Target] = event.At
	case FaultStarted:
		c.faultsOverAt = max(c.faultsOverAt, event.At+event.Duration)
	case OpeningAccepted:
		c.checkOpening(event)
	case FlowOpened:
		c.openFlows[event.Flow] = *event
	case FlowReset:
		c.checkReset(event)
	case RequestSent:
		c.sent[event.Request] = *event
	case RequestRan:
		c.checkRun(event)
	case RequestAnswered:
		c.checkAnswer(event)
	case RequestFailed:
		c.checkFailure(event)
	case DaemonSignalled:
		c.verdicts[NoUnexpectedExits].Checked++
	case DaemonExited:
		c.verdicts[NoUnexpectedExits].Checked++
		c.verdicts[NoUnexpectedExits].addViolation(event, "%s", event.Detail)
	case TargetStarted:
	}
}

// isSettled reports whether time bounds are checked at an event.
func (c *checker) isSettled(event *Event) bool { return event.At >= c.faultsOverAt+c.bounds.Settle }

// countIfSettled counts a change that a time bound applies to.
func (c *checker) countIfSettled(invariant string, event *Event) {
	if c.isSettled(event) {
		c.verdicts[invariant].Checked++
	}
}

func (c *checker) checkOpening(event *Event) {
	foreign, old, leaving := c.verdicts[AllowedServices], c.verdicts[ConfigurationActiveInTime], c.verdicts[DrainingTargetGetsNoFlows]
	foreign.Checked++
	removedAt, wasAllowed := c.removedAt[routeService{event.Flow.Route, event.Service}]
	if !wasAllowed {
		foreign.addViolation(event, "flow %s to %s opened at target %x of %s", event.Flow.Caller, event.Flow.Route, event.Target, event.Service)
		return
	}
	if removedAt >= 0 && c.isSettled(event) {
		if delay := event.At - event.Duration - removedAt; delay > c.bounds.Converge {
			old.addViolation(event, "%s got a flow to %s %s after its removal from the route", event.Service, event.Flow.Route, delay)
		}
	}
	if drainingSince, isDraining := c.drainingSince[event.Target]; isDraining && c.isSettled(event) {
		if delay := event.At - drainingSince; delay > c.bounds.Drain {
			leaving.addViolation(event, "target %x got a flow %s after it began to drain", event.Target, delay)
		}
	}
}

// checkReset checks that daemons reset no open flow whose target is running and whose route
// was never dropped since the flow opened.
func (c *checker) checkReset(event *Event) {
	opened, isOpen := c.openFlows[event.Flow]
	if !isOpen {
		return
	}
	verdict := c.verdicts[OpenFlowsAreNotReset]
	verdict.Checked++
	if c.isLive(&opened) {
		verdict.addViolation(event, "flow %s to %s, open at target %x since %.3f s, was reset", event.Flow.Caller, event.Flow.Route, opened.Target, opened.At.Seconds())
	}
}

// isLive reports whether an open flow's target is running and its route was never dropped
// since the flow opened. A daemon with an old configuration may open flows on a dropped route.
func (c *checker) isLive(opened *Event) bool {
	_, hasEnded := c.endedAt[opened.Target]
	since, isRouted := c.routedSince[opened.Flow.Route]
	return !hasEnded && isRouted && since <= opened.At
}

func (c *checker) hasService(route netip.AddrPort) bool {
	for allowed, removedAt := range c.removedAt {
		if allowed.route == route && removedAt < 0 {
			return true
		}
	}
	return false
}

func (c *checker) checkRun(event *Event) {
	verdict := c.verdicts[AtMostOnce]
	verdict.Checked++
	sent, wasSent := c.sent[event.Request]
	switch {
	case !wasSent:
		verdict.addViolation(event, "request %d ran at target %x but was not sent", event.Request, event.Target)
	case !sent.IsIdempotent && len(c.ranAt[event.Request]) > 0:
		verdict.addViolation(event, "request %d ran at target %x after it had run at %x", event.Request, event.Target, c.ranAt[event.Request])
	}
	c.ranAt[event.Request] = append(c.ranAt[event.Request], event.Target)
}

// checkFailure checks that daemons keep forwarding open flows, whatever configuration they
// have received since and whenever they started.
func (c *checker) checkFailure(event *Event) {
	opened, isOpen := c.openFlows[event.Flow]
	if !isOpen || !c.isLive(&opened) {
		return
	}
	verdict := c.verdicts[OpenFlowsAreAnswered]
	verdict.Checked++
	if sentAt := c.sent[event.Request].At; sentAt >= c.faultsOverAt+c.bounds.Response {
		verdict.addViolation(event, "request %d on flow %s to %s, open at target %x, was not answered", event.Request, event.Flow.Caller, event.Flow.Route, opened.Target)
	}
}

func (c *checker) checkAnswer(event *Event) {
	verdict := c.verdicts[ResponsesMatchRequests]
	verdict.Checked++
	if sent := c.sent[event.Request]; sent.Flow != event.Flow {
		verdict.addViolation(event, "request %d was answered on a flow of %s instead of %s", event.Request, event.Flow.Caller, sent.Flow.Caller)
	}
	if !slices.Contains(c.ranAt[event.Request], event.Target) {
		verdict.addViolation(event, "request %d was answered by target %x, where it did not run", event.Request, event.Target)
	}
	c.verdicts[OpenFlowsAreAnswered].Checked++
}

// checkServed checks the fraction of answered requests among those that completed at least
// Recover after the last fault.
func (c *checker) checkServed(events []Event) {
	verdict := c.verdicts[RecoversAfterFaults]
	served := 0
	from := c.faultsOverAt + c.bounds.Recover
	for index := range events {
		event := &events[index]
		if event.At < from || event.Kind != RequestAnswered && event.Kind != RequestFailed {
			continue
		}
		verdict.Checked++
		if event.Kind == RequestAnswered {
			served++
		}
	}
	if verdict.Checked > 0 && float64(served) < minServedShare*float64(verdict.Checked) {
		verdict.addViolation(&Event{At: from}, "only %d of %d later requests were answered", served, verdict.Checked)
	}
}
