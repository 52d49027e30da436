package liveness

import "time"

// earlyWitnesses is how many daemons besides the judge must fail to reach a target that it
// probed early: with one, two daemons that lost 30 % of their packets buried a living one.
const earlyWitnesses = 2

// budget bounds what may be done in a second.
type budget struct {
	left float64
	at   time.Time
}

// take reports whether one more may be done.
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

// probeEarly probes a target at the first evidence of one other daemon. All of the first
// judges do: they tell each other of failures, and one that is answered objects when another
// one asks.
func (d *Detector) probeEarly(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	_, _, since := suspected.weigh()
	if subject.Zone != "" || suspected.early != probeNone || !reachesTargets(directory, since) {
		return
	}
	if !d.early.take(now, d.config.EarlyProbes, d.config.EarlyBurst) {
		return
	}
	suspected.early = probePending
	output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsEarly: true})
}

// noteEarly takes in that an early probe failed, and tells the other judges: it counts as the
// word of a daemon without callers.
func (d *Detector) noteEarly(now time.Time, subject Subject, suspected *suspect) {
	suspected.early = probeFailed
	_, _, since := suspected.weigh()
	if !since.IsZero() {
		report := Report{Subject: subject, Kind: Silent}
		d.observed.tell(Outgoing{Judges: d.config.FirstJudges, Report: report}, now.Sub(since))
	}
}

// isEnoughEarly reports whether the probes of this daemon and of a second one failed as callers
// of a third were not acknowledged: no two lost paths explain all.
func (s *suspect) isEnoughEarly() bool {
	flows, others := 0, 0
	for reporter, held := range s.evidence {
		if reporter != self {
			others++
			flows += held.flows
		}
	}
	return s.early == probeFailed && others >= earlyWitnesses && flows > 0
}
