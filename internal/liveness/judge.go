package liveness

import "time"

// withdrawVerdict withdraws a verdict if there was activity after the silence began.
func (d *Detector) withdrawVerdict(now time.Time, subject Subject, suspected *suspect, output *Output) {
	if !suspected.isDead(now) || !suspected.lastActivity.After(suspected.unresponsiveSince) {
		return
	}
	suspected.deadUntil = time.Time{}
	if subject.Zone == "" {
		output.Alive = append(output.Alive, subject.Target)
	}
}

// declareDead declares a target dead or a zone unresponsive.
func (d *Detector) declareDead(now time.Time, subject Subject, suspected *suspect, verdict Verdict, output *Output) {
	verdict.Subject = subject
	verdict.Until = now.Add(d.config.VerdictDuration)
	suspected.deadUntil = verdict.Until
	suspected.unresponsiveSince = now.Add(-verdict.Silence)
	clear(suspected.evidence)
	suspected.resetSuspicion()
	if subject.Zone != "" {
		output.UnresponsiveZones = append(output.UnresponsiveZones, verdict)
		return
	}
	output.Dead = append(output.Dead, verdict)
}

// evaluate broadcasts a suspicion once there is enough evidence, and declares the subject dead if
// no daemon refutes it in time.
func (d *Detector) evaluate(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	flows, retransmissions, since := suspected.sumEvidence()
	if d.pause.MayBeStale(now) { // incoming reports are discarded now, refutations included
		return
	}
	if !d.isSufficient(suspected) || suspected.isDead(now) || !hasWorkingPath(directory, since) {
		return
	}
	silence := now.Sub(since)
	if suspected.sufficientAt.IsZero() {
		suspected.sufficientAt = now
	}
	if !suspected.suspectedHere {
		if d.mayStartSuspicion(now, suspected) {
			suspected.suspectedAt, suspected.suspectedHere = now, true
			output.addReport(Outgoing{Report: Report{Subject: subject, Kind: Suspected}}, silence)
			d.requestProbes(directory, subject, suspected, output)
		}
		return
	}
	if suspected.probesLeft > 0 || now.Sub(suspected.suspectedAt) < d.config.RefutationTimeout || silence < d.requiredSilence(directory.ExpectedRate(subject)) {
		return
	}
	if !d.hasSeveralReporters(suspected) && !suspected.isEarlyConfirmed(directory) {
		return
	}
	verdict := Verdict{Silence: silence, Reporters: len(suspected.evidence), Flows: flows, Retransmissions: retransmissions}
	output.addReport(Outgoing{Report: Report{Subject: subject, Kind: Dead}}, silence)
	d.declareDead(now, subject, suspected, verdict, output)
	if subject.Zone == "" {
		suspected.repeatAt = now.Add(d.config.RepeatAfter)
	}
}

// repeatVerdict sends a verdict of this daemon a second time. A daemon that missed the first datagram
// would not reset flows that only it knows of.
func (d *Detector) repeatVerdict(now time.Time, subject Subject, suspected *suspect, output *Output) {
	if suspected.repeatAt.IsZero() || now.Before(suspected.repeatAt) {
		return
	}
	suspected.repeatAt = time.Time{}
	if suspected.isDead(now) {
		output.addReport(Outgoing{Report: Report{Subject: subject, Kind: Dead}}, now.Sub(suspected.unresponsiveSince))
	}
}

// evaluateLocally declares a target of an unresponsive zone dead on local evidence: a caller's
// retransmission and a failed probe of that target. This is needed where callers are so few that
// no target has callers at several daemons.
func (d *Detector) evaluateLocally(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	own, hasOwn := suspected.evidence[self]
	if !hasOwn || d.pause.MayBeStale(now) || suspected.isDead(now) || !d.isInUnresponsiveZone(now, directory, subject) || !hasWorkingPath(directory, own.since) {
		return
	}
	if suspected.localProbe == probeNone {
		suspected.localProbe = probePending
		output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsLocal: true})
	}
	if silence := now.Sub(own.since); suspected.localProbe == probeFailed && silence >= d.config.MinSilence {
		d.declareDead(now, subject, suspected, Verdict{Silence: silence, Reporters: 1, Flows: own.flows, Retransmissions: own.retransmissions}, output)
	}
}

// isInUnresponsiveZone reports whether a target's zone has been declared unresponsive.
func (d *Detector) isInUnresponsiveZone(now time.Time, directory Directory, subject Subject) bool {
	if subject.Zone != "" {
		return false
	}
	zone, found := directory.ZoneOf(subject.Target)
	if !found {
		return false
	}
	suspected := d.suspects[Subject{Zone: zone}]
	return suspected != nil && suspected.isDead(now)
}

// requestProbes requests the probes for a subject's suspicion.
func (d *Detector) requestProbes(directory Directory, subject Subject, suspected *suspect, output *Output) {
	targets := directory.TargetsToProbe(subject, d.config.ZoneProbes)
	suspected.probesLeft = len(targets)
	for _, target := range targets {
		output.Probes = append(output.Probes, Probe{Subject: subject, Target: target})
	}
}

// mayStartSuspicion reports whether this judge should broadcast the suspicion: no judge with a better rank
// did, or the one that did reached no verdict.
func (d *Detector) mayStartSuspicion(now time.Time, suspected *suspect) bool {
	if suspected.suspectedAt.IsZero() {
		return now.Sub(suspected.sufficientAt) >= time.Duration(suspected.rank)*d.config.RefutationTimeout
	}
	return now.Sub(suspected.suspectedAt) >= 2*d.config.RefutationTimeout
}

// isSufficient reports whether the evidence suffices for a suspicion.
func (d *Detector) isSufficient(suspected *suspect) bool {
	return suspected.isEarlySufficient() || d.hasSeveralReporters(suspected)
}

// hasSeveralReporters reports whether callers of several daemons are affected. A judge that only
// had a failed probe has no callers and does not count.
func (d *Detector) hasSeveralReporters(suspected *suspect) bool {
	flows, retransmissions, _ := suspected.sumEvidence()
	daemons := 0
	for _, item := range suspected.evidence {
		if item.flows > 0 {
			daemons++
		}
	}
	return daemons >= d.config.MinReporters && flows >= d.config.MinFlows && retransmissions >= d.config.MinRetransmissions
}

// requiredSilence returns how long a subject must be unresponsive, given the expected number of
// observations of its activity per second.
func (d *Detector) requiredSilence(rate float64) time.Duration {
	if rate <= 0 {
		return d.config.MaxSilence
	}
	needed := time.Duration(d.config.MinMissedObservations / rate * float64(time.Second))
	return min(max(needed, d.config.MinSilence), d.config.MaxSilence)
}
