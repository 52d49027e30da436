package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One daemon's caller and failed probes of other daemons suffice, since no single lost path explains
// both.
func TestEarlyVerdictFromOneReporter(t *testing.T) {
	group := newGroup(5)
	group.retransmit(0, 1)
	group.advance(300 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 5)
	for _, verdict := range group.verdicts {
		assert.Assert(t, verdict.Silence >= DefaultConfig().MinSilence)
	}
}

// A daemon without a path to any target must not cause a verdict, be it judge or not.
func TestNoVerdictFromOneCutOffDaemon(t *testing.T) {
	for _, reporter := range []int{0, 4} { // the last two daemons are judges
		group := newGroup(5)
		group.answersProbeOf = func(daemon int) bool { return daemon != reporter }
		for flow := range uint64(10) {
			group.retransmit(reporter, flow)
			group.advance(200 * time.Millisecond)
		}
		assert.Equal(t, len(group.verdicts), 0, "reporter %d", reporter)
	}
}

// Whichever two daemons have no path, a judge whose probe succeeds must prevent the verdict.
func TestNoVerdictFromTwoCutOffDaemons(t *testing.T) {
	for reporter := range 5 {
		for other := range 5 {
			group := newGroup(5)
			group.answersProbeOf = func(daemon int) bool { return daemon != reporter && daemon != other }
			for flow := range uint64(10) {
				group.retransmit(reporter, flow)
				group.advance(200 * time.Millisecond)
			}
			assert.Equal(t, len(group.verdicts), 0, "daemons %d and %d", reporter, other)
		}
	}
}

// An early verdict needs evidence from callers, another daemon's failed probe and a working path
// of the judge.
func TestEarlyVerdictNeedsThreeDaemons(t *testing.T) {
	suspected, now := newSuspect(), testStart
	suspected.early, suspected.earlyAt = probeFailed, testStart.Add(-time.Millisecond)
	directory := &fakeDirectory{now: &now}
	suspected.evidence[addressOf(1)] = evidence{flows: 1, retransmissions: 1}
	assert.Assert(t, !suspected.isEarlyConfirmed(directory), "callers of one daemon only")
	suspected.evidence[self] = evidence{flows: 1, retransmissions: 1}
	assert.Assert(t, !suspected.isEarlyConfirmed(directory), "callers of one daemon and of the judge")
	suspected.evidence[addressOf(2)] = evidence{}
	assert.Assert(t, suspected.isEarlyConfirmed(directory), "with another daemon's failed probe")
	suspected.earlyAt = now
	assert.Assert(t, !suspected.isEarlyConfirmed(directory), "judge's path not confirmed since its probe began")
	suspected.earlyAt = testStart.Add(-time.Millisecond)
	delete(suspected.evidence, addressOf(1))
	suspected.evidence[addressOf(3)] = evidence{}
	assert.Assert(t, !suspected.isEarlyConfirmed(directory), "failed probes only, no callers")
}

// Packet loss at one daemon, which makes it report many targets, must not cause a flood of probes.
func TestEarlyProbesAreRateLimited(t *testing.T) {
	const targets, seconds = 300, 3
	group := newGroup(3)
	group.answersProbes = true
	for range seconds {
		for other := range uint64(targets) {
			group.detectors[0].Observe(group.now, group.directories[0], target+other, other, group.now.Add(-200*time.Millisecond))
		}
		group.advance(time.Second)
	}
	config := DefaultConfig()
	judges := float64(len(group.detectors) - 1) // further reports reach more judges
	maxProbes := judges * (config.EarlyBurst + seconds*config.EarlyProbes)
	assert.Assert(t, group.probes > 0 && float64(group.probes) <= maxProbes, "%d probes, %v allowed", group.probes, maxProbes)
}

// A judge's failed probe must not count as a daemon with callers.
func TestNoVerdictFromLostPathAndLostProbe(t *testing.T) {
	const reporter, other = 4, 3
	group := newGroup(5)
	for _, judge := range []int{0, 1, 2} { // exhaust their token buckets
		group.detectors[judge].config.EarlyProbes, group.detectors[judge].early.tokens = 0, 0
	}
	probes := 0
	group.answersProbeOf = func(daemon int) bool {
		if daemon == other {
			probes++
			return probes > 1 // the first probe is lost
		}
		return daemon != reporter
	}
	for flow := range uint64(3) {
		group.retransmit(reporter, flow)
	}
	group.advance(time.Second)
	assert.Equal(t, len(group.verdicts), 0)
}

func TestProbeResultFromBeforeActivityIsIgnored(t *testing.T) {
	now := testStart
	directory := &fakeDirectory{rate: fastRate, now: &now}
	d := New(DefaultConfig())
	unresponsiveReport := func(age uint32) []Received {
		report := Report{Subject: Subject{Target: target}, Kind: Unresponsive, Flows: 1, Retransmissions: 1, AgeMilliseconds: age}
		return []Received{{Report: report, From: addressOf(1)}}
	}
	d.HandleProbeResult(now, d.HandleReports(now, directory, unresponsiveReport(200)).Probes[0], true) // an earlier probe, answered
	now = now.Add(time.Second)
	first := d.HandleReports(now, directory, unresponsiveReport(200))
	assert.Equal(t, len(first.Probes), 1)
	now = now.Add(20 * time.Millisecond)
	directory.lastActivity = now
	d.Tick(now, directory)
	now = now.Add(30 * time.Millisecond)
	d.HandleProbeResult(now, first.Probes[0], false)
	now = now.Add(200 * time.Millisecond)
	for _, report := range d.HandleReports(now, directory, unresponsiveReport(180)).Reports {
		assert.Assert(t, report.Kind != Suspected)
	}
}
