package liveness

import "time"

// earlyWitnesses is how many other daemons must fail to reach a target that a judge probed
// early. With one, packet loss at two daemons could get a live target declared dead.
const earlyWitnesses = 2

// budget is a token bucket.
type budget struct {
	left float64
	at   time.Time
}

// take reports whether a token was available, and consumes it.
func (b *budget) take(now time.Time, perSecond, burst float64) bool {
	if !b.at.IsZero() {
		b.left = min(burst, b.left+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// probeEarly probes a target on the first evidence from another daemon. All of the first
// judges do so and report failures to each other; one whose probe succeeds refutes the
// suspicions of others.
func (d *Detector) probeEarly(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	_, _, since := suspected.weigh()
	if subject.Zone != "" || suspected.early != probeNone || !reachesTargets(directory, since) {
		return
	}
	if !d.early.take(now, d.config.EarlyProbes, d.config.EarlyBurst) {
		return
	}
	suspected.early, suspected.earlyAt = probePending, now
	output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsEarly: true})
}

// tellEarly reports a failed early probe to the other judges, once. The report counts as that
// of a daemon without clients. It is sent only if this daemon's path has worked since the
// probe began, as a lost path would explain the failure.
func (d *Detector) tellEarly(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	if suspected.early != probeFailed || suspected.earlyTold || !reachesTargets(directory, suspected.earlyAt) {
		return
	}
	suspected.earlyTold = true
	if _, _, since := suspected.weigh(); !since.IsZero() {
		report := Report{Subject: subject, Kind: Silent}
		output.tell(Outgoing{Judges: d.config.FirstJudges, Report: report}, now.Sub(since))
	}
}

// witnesses returns the number of other daemons that cannot reach a target, and their flows.
func (s *suspect) witnesses() (others, flows int) {
	for reporter, held := range s.evidence {
		if reporter != self {
			others++
			flows += held.flows
		}
	}
	return others, flows
}

// isEnoughEarly reports whether this daemon's early probe failed and clients of another daemon
// are not acknowledged, which suffices for a suspicion.
func (s *suspect) isEnoughEarly() bool {
	_, flows := s.witnesses()
	return s.early == probeFailed && flows > 0
}

// isProvenEarly reports whether, in addition, a probe from a third daemon failed and this
// daemon's path has worked since its own probe began, so that two lost paths cannot explain
// all failures.
func (s *suspect) isProvenEarly(directory Directory) bool {
	others, _ := s.witnesses()
	return s.isEnoughEarly() && others >= earlyWitnesses && reachesTargets(directory, s.earlyAt)
}
