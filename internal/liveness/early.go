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
	suspected.early, suspected.earlyAt = probePending, now
	output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsEarly: true})
}

// tellEarly tells the other judges once that an early probe failed: it counts as the word of a
// daemon without callers. This daemon's own path must have held since the probe began: it may
// have been lost just then.
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

// witnesses counts the other daemons that do not reach a target, and their flows.
func (s *suspect) witnesses() (others, flows int) {
	for reporter, held := range s.evidence {
		if reporter != self {
			others++
			flows += held.flows
		}
	}
	return others, flows
}

// isEnoughEarly reports whether the probe of this daemon failed as callers of another one were
// not acknowledged: enough to ask all.
func (s *suspect) isEnoughEarly() bool {
	_, flows := s.witnesses()
	return s.early == probeFailed && flows > 0
}

// isProvenEarly reports whether, besides, a third daemon's probe failed, and this one's path held
// since its own began: no two lost paths explain all.
func (s *suspect) isProvenEarly(directory Directory) bool {
	others, _ := s.witnesses()
	return s.isEnoughEarly() && others >= earlyWitnesses && reachesTargets(directory, s.earlyAt)
}
