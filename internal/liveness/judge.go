package liveness

import "time"

// revive withdraws a verdict if there was activity after the silence began.
func (d *Detector) revive(now time.Time, subject Subject, suspected *suspect, output *Output) {
	if !suspected.isDead(now) || !suspected.lifeAt.After(suspected.silentSince) {
		return
	}
	suspected.deadUntil = time.Time{}
	if subject.Zone == "" {
		output.Alive = append(output.Alive, subject.Target)
	}
}

// bury declares a target dead or a zone unresponsive.
func (d *Detector) bury(now time.Time, subject Subject, suspected *suspect, verdict Verdict, output *Output) {
	verdict.Subject = subject
	verdict.Until = now.Add(d.config.HoldFor)
	suspected.deadUntil = verdict.Until
	suspected.silentSince = now.Add(-verdict.Silence)
	clear(suspected.evidence)
	suspected.forgetQuestion()
	if subject.Zone != "" {
		output.Silent = append(output.Silent, verdict)
		return
	}
	output.Dead = append(output.Dead, verdict)
}

// judge broadcasts a suspicion once there is enough evidence, and declares the subject dead if
// nobody refutes it in time.
func (d *Detector) judge(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	flows, sends, since := suspected.weigh()
	if d.pause.MayBeOld(now) { // incoming reports are discarded now, refutations included
		return
	}
	if !d.isEnough(suspected) || suspected.isDead(now) || !reachesTargets(directory, since) {
		return
	}
	silence := now.Sub(since)
	if suspected.enoughAt.IsZero() {
		suspected.enoughAt = now
	}
	if !suspected.askedHere {
		if d.isTurn(now, suspected) {
			suspected.askedAt, suspected.askedHere = now, true
			output.tell(Outgoing{Report: Report{Subject: subject, Kind: Asked}}, silence)
			d.probe(directory, subject, suspected, output)
		}
		return
	}
	if suspected.probesLeft > 0 || now.Sub(suspected.askedAt) < d.config.ObjectFor || silence < d.silenceNeeded(directory.ExpectedRate(subject)) {
		return
	}
	if !d.hasCallersOfSeveral(suspected) && !suspected.isProvenEarly(directory) {
		return
	}
	verdict := Verdict{Silence: silence, Reporters: len(suspected.evidence), Flows: flows, Sends: sends}
	output.tell(Outgoing{Report: Report{Subject: subject, Kind: Dead}}, silence)
	d.bury(now, subject, suspected, verdict, output)
	if subject.Zone == "" {
		suspected.repeatAt = now.Add(d.config.RepeatAfter)
	}
}

// repeat sends a verdict of this daemon a second time. A daemon that missed the first datagram
// would not reset flows that only it knows of.
func (d *Detector) repeat(now time.Time, subject Subject, suspected *suspect, output *Output) {
	if suspected.repeatAt.IsZero() || now.Before(suspected.repeatAt) {
		return
	}
	suspected.repeatAt = time.Time{}
	if suspected.isDead(now) {
		output.tell(Outgoing{Report: Report{Subject: subject, Kind: Dead}}, now.Sub(suspected.silentSince))
	}
}

// judgeAlone declares a target of an unresponsive zone dead on local evidence: a client's
// retransmission and a failed probe of that target. Where clients are few compared with targets,
// no target has clients at several daemons.
func (d *Detector) judgeAlone(now time.Time, directory Directory, subject Subject, suspected *suspect, output *Output) {
	own, isSeen := suspected.evidence[self]
	if !isSeen || d.pause.MayBeOld(now) || suspected.isDead(now) || !d.isInSilentZone(now, directory, subject) || !reachesTargets(directory, own.since) {
		return
	}
	if suspected.alone == probeNone {
		suspected.alone = probePending
		output.Probes = append(output.Probes, Probe{Subject: subject, Target: subject.Target, IsAlone: true})
	}
	if silence := now.Sub(own.since); suspected.alone == probeFailed && silence >= d.config.LeastSilence {
		d.bury(now, subject, suspected, Verdict{Silence: silence, Reporters: 1, Flows: own.flows, Sends: own.sends}, output)
	}
}

// isInSilentZone reports whether a target's zone has been declared unresponsive.
func (d *Detector) isInSilentZone(now time.Time, directory Directory, subject Subject) bool {
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

// probe requests the probes for a subject's suspicion.
func (d *Detector) probe(directory Directory, subject Subject, suspected *suspect, output *Output) {
	targets := directory.TargetsToProbe(subject, d.config.ZoneProbes)
	suspected.probesLeft = len(targets)
	for _, target := range targets {
		output.Probes = append(output.Probes, Probe{Subject: subject, Target: target})
	}
}

// isTurn reports whether this judge should broadcast the suspicion: no judge with a better rank
// did, or the one that did reached no verdict.
func (d *Detector) isTurn(now time.Time, suspected *suspect) bool {
	if suspected.askedAt.IsZero() {
		return now.Sub(suspected.enoughAt) >= time.Duration(suspected.rank)*d.config.ObjectFor
	}
	return now.Sub(suspected.askedAt) >= 2*d.config.ObjectFor
}

// isEnough reports whether the evidence suffices for a suspicion.
func (d *Detector) isEnough(suspected *suspect) bool {
	return suspected.isEnoughEarly() || d.hasCallersOfSeveral(suspected)
}

// hasCallersOfSeveral reports whether clients of several daemons are affected. A judge that only
// had a failed probe has no clients and does not count.
func (d *Detector) hasCallersOfSeveral(suspected *suspect) bool {
	flows, sends, _ := suspected.weigh()
	callers := 0
	for _, held := range suspected.evidence {
		if held.flows > 0 {
			callers++
		}
	}
	return callers >= d.config.Reporters && flows >= d.config.Flows && sends >= d.config.Sends
}

// silenceNeeded returns how long a subject must be unresponsive, given the expected number of
// observations of its activity per second.
func (d *Detector) silenceNeeded(rate float64) time.Duration {
	if rate <= 0 {
		return d.config.MostSilence
	}
	needed := time.Duration(d.config.SignsMissed / rate * float64(time.Second))
	return min(max(needed, d.config.LeastSilence), d.config.MostSilence)
}
