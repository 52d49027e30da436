package liveness

import "time"

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
// judges do: one that is answered objects when another one asks.
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

// isEnoughEarly reports whether a probe of this daemon failed as callers of another one were
// not acknowledged: neither's own path explains both.
func (s *suspect) isEnoughEarly() bool {
	if s.early != probeFailed {
		return false
	}
	for reporter := range s.evidence {
		if reporter != self {
			return true
		}
	}
	return false
}
