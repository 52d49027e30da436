package liveness

import "time"

// minEarlyReporters is how many other daemons must fail to reach a target that a judge probed
// early. With one, two daemons that lost 30 % of their packets got a live target declared dead.
const minEarlyReporters = 2

type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// take reports whether a token was available, and consumes it.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	if !b.updatedAt.IsZero() {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// probeEarly probes a target on the first evidence from another daemon. All of the first
// judges do so and report failures to each other; one whose probe succeeds refutes the
// suspicions of others.
func (d *Detector) probeEarly(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	_, _, since := suspected.sumEvidence()
	if subject.Zone != "" || suspected.early != probeNone || !hasWorkingPath(directory, since) {
		return
	}
	if !d.early.take(now, d.config.EarlyProbes, d.config.EarlyBurst) {
		return
	}
	suspected.early, suspected.earlyAt = probePending, now
	output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsEarly: true})
}

// reportEarlyFailure reports a failed early probe to the other judges, once. The report counts as that
// of a daemon without callers. It is sent only if this daemon's path has worked since the
// probe began, as a lost path would explain the failure.
func (d *Detector) reportEarlyFailure(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	if suspected.early != probeFailed || suspected.earlyReported || !hasWorkingPath(directory, suspected.earlyAt) {
		return
	}
	suspected.earlyReported = true
	if _, _, since := suspected.sumEvidence(); !since.IsZero() {
		report := Report{Subject: subject, Kind: Unresponsive}
		output.addReport(Outgoing{Judges: d.config.InitialJudges, Report: report}, now.Sub(since))
	}
}

// otherReporters returns the number of other daemons that cannot reach a target, and their flows.
func (s *suspect) otherReporters() (others, flows int) {
	for reporter, item := range s.evidence {
		if reporter != self {
			others++
			flows += item.flows
		}
	}
	return others, flows
}

// isEarlySufficient reports whether this daemon's early probe failed and callers of another daemon
// are not acknowledged, which suffices for a suspicion.
func (s *suspect) isEarlySufficient() bool {
	_, flows := s.otherReporters()
	return s.early == probeFailed && flows > 0
}

// isEarlyConfirmed reports whether, in addition to isEarlySufficient, a third daemon cannot reach
// the target and this daemon's path has worked since its own probe began, so that two lost paths
// cannot explain all failures.
func (s *suspect) isEarlyConfirmed(directory Directory) bool {
	others, _ := s.otherReporters()
	return s.isEarlySufficient() && others >= minEarlyReporters && hasWorkingPath(directory, s.earlyAt)
}
