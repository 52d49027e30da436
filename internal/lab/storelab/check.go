package storelab

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Bounds are the time limits of the invariants.
type Bounds struct {
	// Converge is the maximum time until a new configuration is active, Leave the maximum
	// time for which a draining target may get new flows.
	Converge, Leave time.Duration
	// Settle is the time after a fault during which Converge and Leave aren't checked.
	Settle time.Duration
	// Answer is the time after a fault until requests on open flows must be answered again.
	Answer time.Duration
	// Recover is the maximum time from the last fault until callers are served again.
	Recover time.Duration
}

// leastServed is the fraction of requests that must be answered after recovery.
const leastServed = 0.9

// Verdict is the result of checking one invariant.
type Verdict struct {
	Invariant string
	// Checked counts the events that the invariant applied to. If it is 0, the run proves nothing.
	Checked    int
	Violations []string
}

func (v *Verdict) violate(event *Event, format string, values ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf("%.3f s: ", event.At.Seconds())+fmt.Sprintf(format, values...))
}

// The invariants.
const (
	ForeignService  = "flows open only at services that a configuration allowed"
	OldVersion      = "a new configuration is active within its bound"
	LeavingTarget   = "a draining target gets no new flows"
	LivingFlow      = "no open flow of a live target is reset"
	LivingAnswer    = "requests on open flows of live targets are answered"
	WholeAnswer     = "callers receive only responses to their own requests"
	AtMostOnce      = "non-idempotent requests run at most once, and no request runs that was not sent"
	ServedAfterward = "callers are served again after the last fault"
	LivingDaemon    = "no daemon exits unexpectedly"
)

// pair is a route and one of its services.
type pair struct {
	route   netip.AddrPort
	service string
}

// judge is the state of Check while it processes the events in order.
type judge struct {
	bounds   Bounds
	verdicts map[string]*Verdict
	// forbiddenAt is when a pair that was once allowed was removed, negative while it is allowed.
	forbiddenAt map[pair]time.Duration
	leavingAt   map[uint64]time.Duration
	endedAt     map[uint64]time.Duration
	// listedSince is since when a route has had a service without interruption; it doesn't
	// contain routes without one.
	listedSince map[netip.AddrPort]time.Duration
	open        map[Flow]Event
	sent        map[uint64]Event
	ran         map[uint64][]uint64
	// calmFrom is the end of the last fault so far.
	calmFrom time.Duration
}

// Check verifies all invariants against the events of a run, which must be sorted by time.
func Check(bounds Bounds, events []Event) []Verdict {
	j := &judge{
		bounds: bounds, verdicts: map[string]*Verdict{},
		forbiddenAt: map[pair]time.Duration{}, leavingAt: map[uint64]time.Duration{}, endedAt: map[uint64]time.Duration{},
		listedSince: map[netip.AddrPort]time.Duration{}, open: map[Flow]Event{}, sent: map[uint64]Event{}, ran: map[uint64][]uint64{},
	}
	names := []string{ForeignService, OldVersion, LeavingTarget, LivingFlow, LivingAnswer, WholeAnswer, AtMostOnce, ServedAfterward, LivingDaemon}
	for _, name := range names {
		j.verdicts[name] = &Verdict{Invariant: name}
	}
	for index := range events {
		j.take(&events[index])
	}
	j.checkServed(events)
	var verdicts []Verdict
	for _, name := range names {
		verdicts = append(verdicts, *j.verdicts[name])
	}
	return verdicts
}

func (j *judge) take(event *Event) {
	switch event.Kind {
	case RouteAllowed:
		if !j.leadsSomewhere(event.Flow.Route) {
			j.listedSince[event.Flow.Route] = event.At
		}
		j.forbiddenAt[pair{event.Flow.Route, event.Service}] = -1
	case RouteForbidden:
		j.forbiddenAt[pair{event.Flow.Route, event.Service}] = event.At
		j.count(OldVersion, event)
		if !j.leadsSomewhere(event.Flow.Route) {
			delete(j.listedSince, event.Flow.Route)
		}
	case TargetLeaving:
		j.leavingAt[event.Target] = event.At
		j.count(LeavingTarget, event)
	case TargetEnded:
		j.endedAt[event.Target] = event.At
	case Disturbed:
		j.calmFrom = max(j.calmFrom, event.At+event.Span)
	case OpeningTaken:
		j.checkOpening(event)
	case FlowOpened:
		j.open[event.Flow] = *event
	case FlowReset:
		j.checkReset(event)
	case RequestSent:
		j.sent[event.Request] = *event
	case RequestRan:
		j.checkRun(event)
	case RequestAnswered:
		j.checkAnswer(event)
	case RequestFailed:
		j.checkFailure(event)
	case DaemonSignalled:
		j.verdicts[LivingDaemon].Checked++
	case DaemonEnded:
		j.verdicts[LivingDaemon].Checked++
		j.verdicts[LivingDaemon].violate(event, "%s", event.Detail)
	case TargetStarted:
	}
}

// isCalm reports whether time bounds are checked at an event.
func (j *judge) isCalm(event *Event) bool { return event.At >= j.calmFrom+j.bounds.Settle }

// count counts a change that a time bound applies to.
func (j *judge) count(invariant string, event *Event) {
	if j.isCalm(event) {
		j.verdicts[invariant].Checked++
	}
}

func (j *judge) checkOpening(event *Event) {
	foreign, old, leaving := j.verdicts[ForeignService], j.verdicts[OldVersion], j.verdicts[LeavingTarget]
	foreign.Checked++
	forbiddenAt, wasAllowed := j.forbiddenAt[pair{event.Flow.Route, event.Service}]
	if !wasAllowed {
		foreign.violate(event, "flow %s to %s opened at target %x of %s", event.Flow.Caller, event.Flow.Route, event.Target, event.Service)
		return
	}
	if forbiddenAt >= 0 && j.isCalm(event) {
		if late := event.At - event.Span - forbiddenAt; late > j.bounds.Converge {
			old.violate(event, "%s got a flow to %s %s after its removal from the route", event.Service, event.Flow.Route, late)
		}
	}
	if leavingAt, leaves := j.leavingAt[event.Target]; leaves && j.isCalm(event) {
		if late := event.At - leavingAt; late > j.bounds.Leave {
			leaving.violate(event, "target %x got a flow %s after it began to drain", event.Target, late)
		}
	}
}

// checkReset checks that daemons reset no open flow whose target is running and whose route
// was never dropped since the flow opened.
func (j *judge) checkReset(event *Event) {
	opened, isOpen := j.open[event.Flow]
	if !isOpen {
		return
	}
	verdict := j.verdicts[LivingFlow]
	verdict.Checked++
	if j.isLiving(&opened) {
		verdict.violate(event, "flow %s to %s, open at target %x since %.3f s, was reset", event.Flow.Caller, event.Flow.Route, opened.Target, opened.At.Seconds())
	}
}

// isLiving reports whether an open flow's target is running and its route was never dropped
// since the flow opened. A daemon with an old configuration may open flows on a dropped route.
func (j *judge) isLiving(opened *Event) bool {
	_, hasEnded := j.endedAt[opened.Target]
	since, isListed := j.listedSince[opened.Flow.Route]
	return !hasEnded && isListed && since <= opened.At
}

func (j *judge) leadsSomewhere(route netip.AddrPort) bool {
	for allowed, forbiddenAt := range j.forbiddenAt {
		if allowed.route == route && forbiddenAt < 0 {
			return true
		}
	}
	return false
}

func (j *judge) checkRun(event *Event) {
	verdict := j.verdicts[AtMostOnce]
	verdict.Checked++
	sent, wasSent := j.sent[event.Request]
	switch {
	case !wasSent:
		verdict.violate(event, "request %d ran at target %x but was not sent", event.Request, event.Target)
	case !sent.MayRepeat && len(j.ran[event.Request]) > 0:
		verdict.violate(event, "request %d ran at target %x after it had run at %x", event.Request, event.Target, j.ran[event.Request])
	}
	j.ran[event.Request] = append(j.ran[event.Request], event.Target)
}

// checkFailure checks that daemons keep forwarding open flows, whatever configuration they
// have received since and whenever they started.
func (j *judge) checkFailure(event *Event) {
	opened, isOpen := j.open[event.Flow]
	if !isOpen || !j.isLiving(&opened) {
		return
	}
	verdict := j.verdicts[LivingAnswer]
	verdict.Checked++
	if sentAt := j.sent[event.Request].At; sentAt >= j.calmFrom+j.bounds.Answer {
		verdict.violate(event, "request %d on flow %s to %s, open at target %x, was not answered", event.Request, event.Flow.Caller, event.Flow.Route, opened.Target)
	}
}

func (j *judge) checkAnswer(event *Event) {
	verdict := j.verdicts[WholeAnswer]
	verdict.Checked++
	if sent := j.sent[event.Request]; sent.Flow != event.Flow {
		verdict.violate(event, "request %d was answered on a flow of %s instead of %s", event.Request, event.Flow.Caller, sent.Flow.Caller)
	}
	if !slices.Contains(j.ran[event.Request], event.Target) {
		verdict.violate(event, "request %d was answered by target %x, where it did not run", event.Request, event.Target)
	}
	j.verdicts[LivingAnswer].Checked++
}

// checkServed checks the fraction of answered requests among those that completed at least
// Recover after the last fault.
func (j *judge) checkServed(events []Event) {
	verdict := j.verdicts[ServedAfterward]
	served := 0
	from := j.calmFrom + j.bounds.Recover
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
	if verdict.Checked > 0 && float64(served) < leastServed*float64(verdict.Checked) {
		verdict.violate(&Event{At: from}, "only %d of %d requests were answered since then", served, verdict.Checked)
	}
}
