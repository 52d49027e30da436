package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The invariants, in the order in which Check returns them.
const (
	FeedsStayConnected              = "feeds stay connected"
	NoForeignPackets                = "no packet reaches another service"
	ResponsesMatchRequests          = "responses are complete and match their requests"
	NotRunIsAccurate                = "requests reported as not run did not run"
	AtMostOnce                      = "requests run at most once"
	DrainingTargetGetsNoConnections = "a draining target gets no new connections"
	DrainingTargetFinishesRequests  = "a draining target finishes its requests"
	ConfigurationBecomesActive      = "accepted configurations become active and never revert"
	maxSettleTime                   = 5 * time.Second
	maxViolationsListed             = 20
)

// Verdict is the result of checking one invariant.
type Verdict struct {
	Invariant string
	// Checked counts the cases that the invariant applied to. If it is 0, the run proves nothing about it.
	Checked    int
	Violations []string
	// Total counts all violations; Violations lists only the first ones.
	Total int
}

// Holds reports whether the invariant was never violated.
func (v *Verdict) Holds() bool { return v.Total == 0 }

func (v *Verdict) addViolation(at int64, format string, args ...any) {
	v.Total++
	if len(v.Violations) < maxViolationsListed {
		v.Violations = append(v.Violations, fmt.Sprintf("%8.3fs ", time.Duration(at).Seconds())+fmt.Sprintf(format, args...))
	}
}

// Check verifies all invariants against a history. The events may be in any order.
func Check(events []Event) []Verdict {
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return []Verdict{
		checkFeeds(ordered),
		checkForeign(ordered),
		checkAnswers(ordered),
		checkNotRun(ordered),
		checkAtMostOnce(ordered),
		checkLeaving(ordered),
		checkPlannedStop(ordered),
		checkConfiguration(ordered),
	}
}

// checkFeeds checks that feeds break only if their target crashed before.
func checkFeeds(events []Event) Verdict {
	verdict := Verdict{Invariant: FeedsStayConnected}
	crashed := map[string]bool{}
	for _, event := range events {
		switch event.Kind {
		case FeedOpened:
			verdict.Checked++
		case TargetCrashed:
			crashed[event.Target] = true
		case FeedBroken:
			if !crashed[event.Target] {
				verdict.addViolation(event.At, "feed %s on %s broke: %s", event.Request, event.Target, event.Detail)
			}
		}
	}
	return verdict
}

func checkForeign(events []Event) Verdict {
	verdict := Verdict{Invariant: NoForeignPackets}
	for _, event := range events {
		switch event.Kind {
		case ConnectionOpened:
			verdict.Checked++
		case ForeignPacketReceived:
			verdict.addViolation(event.At, "packet for %s reached target %s of another service", event.Service, event.Target)
		}
	}
	return verdict
}

func checkAnswers(events []Event) Verdict {
	verdict := Verdict{Invariant: ResponsesMatchRequests}
	for _, event := range events {
		if event.Kind != CallReturned {
			continue
		}
		switch event.Outcome {
		case OutcomeAnswered:
			verdict.Checked++
		case OutcomeWrong:
			verdict.Checked++
			verdict.addViolation(event.At, "request %s: %s", event.Request, event.Detail)
		}
	}
	return verdict
}

// checkNotRun checks that attempts reported as not run did not run, neither before nor after. Events
// carry the number of the attempt, so that a retry's run isn't attributed to an earlier attempt.
func checkNotRun(events []Event) Verdict {
	verdict := Verdict{Invariant: NotRunIsAccurate}
	ran := map[string]string{}
	for _, event := range events {
		if event.Kind == RequestRun {
			ran[event.Request+"/"+event.Detail] = event.Target
		}
	}
	for _, event := range events {
		if event.Kind != CallReturned || event.Outcome != OutcomeNotRun {
			continue
		}
		verdict.Checked++
		if target, hasRun := ran[event.Request+"/"+event.Detail]; hasRun {
			verdict.addViolation(event.At, "request %s was reported as not run but ran on %s", event.Request, target)
		}
	}
	return verdict
}

func checkAtMostOnce(events []Event) Verdict {
	verdict := Verdict{Invariant: AtMostOnce}
	runs := map[string][]string{}
	for _, event := range events {
		switch event.Kind {
		case RequestRun:
			runs[event.Request] = append(runs[event.Request], event.Target)
			if len(runs[event.Request]) == 2 {
				verdict.addViolation(event.At, "request %s ran more than once, on %v", event.Request, runs[event.Request])
			}
		case CallReturned:
			if event.Outcome == OutcomeAnswered && len(runs[event.Request]) == 0 {
				verdict.addViolation(event.At, "request %s was answered but never ran", event.Request)
			}
		}
	}
	verdict.Checked = len(runs)
	return verdict
}

// checkLeaving checks that a target accepts no connections once maxSettleTime has passed since
// its drain was accepted.
func checkLeaving(events []Event) Verdict {
	verdict := Verdict{Invariant: DrainingTargetGetsNoConnections}
	draining := map[string]int64{}
	for _, event := range events {
		switch event.Kind {
		case TargetDrained:
			verdict.Checked++
			draining[event.Target] = event.At
		case ConnectionOpened:
			if since, isDraining := draining[event.Target]; isDraining && event.At > since+int64(maxSettleTime) {
				verdict.addViolation(event.At, "%s accepted a new connection %.1f s after it began to drain", event.Target, time.Duration(event.At-since).Seconds())
			}
		}
	}
	return verdict
}

// checkPlannedStop checks that a draining target can send the responses to all its requests.
func checkPlannedStop(events []Event) Verdict {
	verdict := Verdict{Invariant: DrainingTargetFinishesRequests}
	draining := map[string]bool{}
	for _, event := range events {
		switch event.Kind {
		case TargetDrained:
			draining[event.Target] = true
			verdict.Checked++
		case ResponseFailed:
			if draining[event.Target] {
				verdict.addViolation(event.At, "draining target %s could not respond to request %s: %s", event.Target, event.Request, event.Detail)
			}
		}
	}
	return verdict
}

// checkConfiguration checks that each accepted revision, or a later one, becomes active within
// maxSettleTime on all daemons that are running and reachable throughout, and that no daemon
// goes back to an older revision.
func checkConfiguration(events []Event) Verdict {
	verdict := Verdict{Invariant: ConfigurationBecomesActive}
	daemons := map[string]*daemonHistory{}
	end := int64(0)
	for _, event := range events {
		end = max(end, event.At)
		daemon := daemons[event.Daemon]
		if event.Daemon != "" && daemon == nil {
			daemon = &daemonHistory{}
			daemons[event.Daemon] = daemon
		}
		switch event.Kind {
		case DaemonStarted:
			*daemon = daemonHistory{startedAt: event.At, reachableSince: event.At}
		case DaemonStopped:
			daemon.stoppedAt = event.At
		case DaemonUnreachable:
			daemon.isCut = true
		case DaemonReachable:
			daemon.isCut = false
			daemon.reachableSince = event.At
		case ConfigurationApplied:
			if event.Revision < daemon.lastRevision() {
				verdict.addViolation(event.At, "%s reverted from revision %d to %d", event.Daemon, daemon.lastRevision(), event.Revision)
			}
			daemon.applied = append(daemon.applied, event)
		}
	}
	for _, event := range events {
		if event.Kind != ConfigurationAccepted || event.At+int64(maxSettleTime) > end {
			continue
		}
		verdict.Checked++
		for _, name := range slices.Sorted(maps.Keys(daemons)) {
			if lag, isLate := daemons[name].lagOf(event); isLate {
				verdict.addViolation(event.At, "revision %d was still not active on %s after %.1f s", event.Revision, name, lag.Seconds())
			}
		}
	}
	return verdict
}

type daemonHistory struct {
	startedAt      int64
	stoppedAt      int64
	reachableSince int64
	isCut          bool
	applied        []Event
}

func (d *daemonHistory) lastRevision() uint64 {
	if len(d.applied) == 0 {
		return 0
	}
	return d.applied[len(d.applied)-1].Revision
}

// lagOf returns the delay until an accepted revision or a later one was active on this daemon, and
// whether it was too long. It is measured from when the daemon was running and reachable. Daemons that
// are cut off at the end of the run, or stopped before the deadline, are exempt.
func (d *daemonHistory) lagOf(accepted Event) (time.Duration, bool) {
	from := max(accepted.At, d.startedAt, d.reachableSince)
	deadline := from + int64(maxSettleTime)
	if d.isCut || (d.stoppedAt != 0 && d.stoppedAt < deadline) {
		return 0, false
	}
	for _, event := range d.applied {
		if event.Revision >= accepted.Revision {
			return time.Duration(event.At - from), event.At > deadline
		}
	}
	return maxSettleTime, true
}
