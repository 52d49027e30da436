package liveness

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_800_000_000, 0)

const (
	target   = 7
	fastRate = 40 // observations per second; MinSilence applies
	slowRate = 1  // MaxSilence applies
)

// fakeDirectory is one daemon's Directory.
type fakeDirectory struct {
	lastActivity time.Time
	rate         float64
	isCutOff     bool
	// zoneLastActivity is the last activity of another target in the zone.
	zoneLastActivity time.Time
	now              *time.Time
}

func (f *fakeDirectory) ZoneOf(uint64) (string, bool) { return "a", true }
func (f *fakeDirectory) IsKnown(Subject) bool         { return true }
func (f *fakeDirectory) TargetsToProbe(subject Subject, count int) []uint64 {
	if subject.Zone == "" {
		return []uint64{subject.Target}
	}
	return []uint64{target, target + 1, target + 2}[:min(count, 3)]
}

// LastActivity returns the target's activity or, for a zone, the latest activity of any target.
func (f *fakeDirectory) LastActivity(subject Subject) time.Time {
	if subject.Zone != "" && f.zoneLastActivity.After(f.lastActivity) {
		return f.zoneLastActivity
	}
	return f.lastActivity
}

func (f *fakeDirectory) ExpectedRate(Subject) float64 { return f.rate }
func (f *fakeDirectory) LastResponse() time.Time {
	if f.isCutOff {
		return testStart.Add(-time.Minute)
	}
	return *f.now
}

// group simulates daemons that exchange reports with a fixed delay.
type group struct {
	now         time.Time
	detectors   []*Detector
	directories []*fakeDirectory
	verdicts    map[int]Verdict
	withdrawn   map[int]int
	delayed     []delivery
	// zones holds the verdicts on the zone, by daemon.
	zones map[int]Verdict
	// answersProbes is set if the target answers probes, othersAnswerProbes if others in its
	// zone do.
	answersProbes      bool
	othersAnswerProbes bool
	// answersProbeOf, if set, overrides both: it returns whether probes of a daemon are answered.
	answersProbeOf func(daemon int) bool
	probes         int
	// sent counts reports, once for each recipient, and suspicions the suspicions among them. lost
	// reports whether a datagram to a daemon is lost.
	sent, suspicions int
	lost             func(to int, report *Report) bool
	// paused is the paused daemon, resumesAt when it resumes.
	paused    int
	resumesAt time.Time
}

// noDaemon marks that no daemon is paused.
const noDaemon = -1

// discardPeriod is how long after a pause a daemon still discards incoming reports.
const discardPeriod = 300 * time.Millisecond

// pauseDaemon pauses a daemon for the given time.
func (g *group) pauseDaemon(daemon int, duration time.Duration) {
	g.paused, g.resumesAt = daemon, g.now.Add(duration)
}

func (g *group) isPaused(daemon int) bool { return daemon == g.paused && g.now.Before(g.resumesAt) }

// isDiscarding reports whether a daemon discards incoming reports: it is or was recently paused.
func (g *group) isDiscarding(daemon int) bool {
	return daemon == g.paused && g.now.Before(g.resumesAt.Add(discardPeriod))
}

type delivery struct {
	at     time.Time
	to     int
	report Received
}

// networkDelay is the time from sending a datagram to its processing.
const networkDelay = 20 * time.Millisecond

func newGroup(daemons int) *group { return newGroupWith(daemons, DefaultConfig()) }

// newGroupWithoutEarly disables early probes, so that judges need reports from two daemons.
func newGroupWithoutEarly(daemons int) *group {
	config := DefaultConfig()
	config.EarlyProbes, config.EarlyBurst = 0, 0
	return newGroupWith(daemons, config)
}

func newGroupWith(daemons int, config Config) *group {
	g := &group{now: testStart, paused: noDaemon, verdicts: map[int]Verdict{}, zones: map[int]Verdict{}, withdrawn: map[int]int{}}
	for range daemons {
		g.detectors = append(g.detectors, New(config))
		g.directories = append(g.directories, &fakeDirectory{rate: fastRate, now: &g.now})
	}
	return g
}

// retransmit simulates a caller retransmitting now what it sent 200 ms before.
func (g *group) retransmit(daemon int, flow uint64) {
	g.detectors[daemon].Observe(g.now, g.directories[daemon], target, flow, g.now.Add(-200*time.Millisecond))
}

// stopResponding simulates retransmissions of three callers at two daemons, the minimum for a verdict.
func (g *group) stopResponding() {
	g.retransmit(0, 1)
	g.retransmit(1, 2)
	g.retransmit(1, 3)
}

// advance moves the time forward in steps of 10 ms.
func (g *group) advance(duration time.Duration) {
	for end := g.now.Add(duration); g.now.Before(end); {
		g.now = g.now.Add(10 * time.Millisecond)
		arrived := g.delayed
		g.delayed = nil
		for _, message := range arrived {
			if message.at.After(g.now) {
				g.delayed = append(g.delayed, message)
				continue
			}
			if g.isDiscarding(message.to) {
				continue
			}
			g.handleOutput(message.to, g.detectors[message.to].HandleReports(g.now, g.directories[message.to], []Received{message.report}))
		}
		for index, detector := range g.detectors {
			if !g.isPaused(index) {
				g.handleOutput(index, detector.Tick(g.now, g.directories[index]))
			}
		}
	}
}

func (g *group) handleOutput(index int, output Output) {
	for _, verdict := range output.Dead {
		g.verdicts[index] = verdict
	}
	for _, verdict := range output.UnresponsiveZones {
		g.zones[index] = verdict
	}
	g.withdrawn[index] += len(output.Alive)
	for _, probe := range output.Probes {
		answers := g.answersProbes || probe.Target != target && g.othersAnswerProbes
		if g.answersProbeOf != nil {
			answers = g.answersProbeOf(index)
		}
		g.probes++
		g.detectors[index].HandleProbeResult(g.now, probe, answers)
	}
	for _, outgoing := range output.Reports {
		for to := range g.detectors {
			if to != index && g.isRecipient(&outgoing, to) {
				report := outgoing.Report
				g.sent++
				g.suspicions += boolToInt(report.Kind == Suspected)
				if g.lost != nil && g.lost(to, &report) {
					continue
				}
				if outgoing.Judges > 0 {
					report.Rank = len(g.detectors) - 1 - to
				}
				g.delayed = append(g.delayed, delivery{g.now.Add(networkDelay), to, Received{report, addressOf(index)}})
			}
		}
	}
}

// isRecipient reports whether a daemon receives a report. The last daemons are the judges, since the
// tests' evidence comes from the first ones.
func (g *group) isRecipient(outgoing *Outgoing, to int) bool {
	switch {
	case outgoing.To.IsValid():
		return outgoing.To == addressOf(to)
	case outgoing.Judges > 0:
		return to >= len(g.detectors)-outgoing.Judges
	}
	return true
}

func addressOf(daemon int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(daemon)}), 8166)
}

func TestVerdictFromSeveralReporters(t *testing.T) {
	group := newGroup(5)
	group.stopResponding()
	group.advance(500 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 5, "verdicts: %v", group.verdicts)
	for _, verdict := range group.verdicts {
		assert.Assert(t, verdict.Silence >= DefaultConfig().MinSilence)
	}
}

func TestNoVerdictFromOneReporter(t *testing.T) {
	group := newGroupWithoutEarly(5)
	for flow := range uint64(10) {
		group.retransmit(0, flow)
		group.advance(200 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0)
}

func TestNoVerdictFromOneFlow(t *testing.T) {
	group := newGroupWithoutEarly(5)
	for range 10 {
		group.retransmit(0, 1)
		group.advance(200 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0)
}

// Two daemons cannot reach a target, but a third one sees its activity.
func TestActivityRefutesSuspicion(t *testing.T) {
	group := newGroup(5)
	for range 20 {
		group.stopResponding()
		group.directories[4].lastActivity = group.now
		group.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0, "%v", group.verdicts)
}

// Verifies that the refutations, not something else, protect the target in the test above.
func TestWithoutRefutationLiveTargetIsDeclaredDead(t *testing.T) {
	group := newGroup(5)
	group.detectors = group.detectors[:4] // the daemon that sees activity is absent
	group.directories = group.directories[:4]
	for range 20 {
		group.stopResponding()
		group.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 4)
}

// Only the two daemons that cannot reach the target have callers there.
func TestAnsweredProbePreventsVerdict(t *testing.T) {
	group := newGroup(5)
	group.answersProbes = true
	for range 20 {
		group.stopResponding()
		group.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0)
}

func TestActivityBetweenRetransmissionsPreventsVerdict(t *testing.T) {
	group := newGroup(3)
	for index := range group.directories {
		group.directories[index].lastActivity = group.now.Add(-100 * time.Millisecond)
	}
	group.stopResponding()
	group.advance(time.Second)
	assert.Equal(t, len(group.verdicts), 0)
}

// With a low expected rate, a short silence is normal.
func TestLowExpectedRateRequiresLongerSilence(t *testing.T) {
	group := newGroup(3)
	for index := range group.directories {
		group.directories[index].rate = slowRate
	}
	group.stopResponding()
	const sentBefore = 200 * time.Millisecond
	group.advance(DefaultConfig().MaxSilence - sentBefore - 100*time.Millisecond)
	assert.Equal(t, len(group.verdicts), 0)
	group.advance(200 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 3)
}

// Reporters that have lost their own path must not cause a verdict.
func TestCutOffDaemonsDoNotReport(t *testing.T) {
	group := newGroup(3)
	group.directories[0].isCutOff = true
	group.directories[1].isCutOff = true
	for range 10 {
		group.stopResponding()
		group.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0)
}

func TestActivityWithdrawsVerdictEverywhere(t *testing.T) {
	group := newGroup(5)
	group.stopResponding()
	group.advance(500 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 5)
	group.directories[3].lastActivity = group.now
	group.advance(200 * time.Millisecond)
	for index := range group.detectors {
		assert.Equal(t, group.withdrawn[index], 1, "daemon %d", index)
	}
}

// Verdicts expire, and a target that is still dead is detected again.
func TestVerdictExpiresAndIsRenewed(t *testing.T) {
	group := newGroup(3)
	group.stopResponding()
	group.advance(DefaultConfig().VerdictDuration + time.Second)
	clear(group.verdicts)
	group.retransmit(0, 4)
	group.retransmit(1, 5)
	group.retransmit(1, 6)
	group.advance(500 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 3)
}

// A zone can be unresponsive although none of its targets has enough reporters.
func TestUnresponsiveZone(t *testing.T) {
	group := newGroupWithoutEarly(5)
	for other := range uint64(3) {
		group.detectors[other].Observe(group.now, group.directories[other], target+other, other, group.now.Add(-200*time.Millisecond))
	}
	group.advance(700 * time.Millisecond)
	assert.Equal(t, len(group.zones), 5)
	assert.Equal(t, len(group.verdicts), 3, "want a local decision at each daemon with a caller at a target")
}

// In an unresponsive zone, a target is declared dead only if a probe of it fails.
func TestTargetOfUnresponsiveZoneIsProbed(t *testing.T) {
	for _, answers := range []bool{true, false} {
		group := newGroup(5)
		group.answersProbes = answers
		for index := range group.detectors {
			group.detectors[index].suspect(Subject{Zone: "a"}).deadUntil = group.now.Add(time.Hour)
		}
		group.retransmit(4, 9)
		group.advance(700 * time.Millisecond)
		_, isDeclaredDead := group.verdicts[4]
		assert.Equal(t, isDeclaredDead, !answers)
	}
}

func TestZoneWithLiveTargetIsNotUnresponsive(t *testing.T) {
	t.Run("activity seen by another daemon", func(t *testing.T) {
		group := newGroup(5)
		for range 20 {
			group.stopResponding()
			group.directories[4].zoneLastActivity = group.now
			group.advance(100 * time.Millisecond)
		}
		assert.Equal(t, len(group.verdicts), 5)
		assert.Equal(t, len(group.zones), 0)
	})
	t.Run("another target answers a probe", func(t *testing.T) {
		group := newGroup(5)
		group.othersAnswerProbes = true
		for range 20 {
			group.stopResponding()
			group.advance(100 * time.Millisecond)
		}
		assert.Equal(t, len(group.verdicts), 5)
		assert.Equal(t, len(group.zones), 0)
	})
}

// A daemon that missed a verdict must learn it in response to its own report.
func TestReporterLearnsMissedVerdict(t *testing.T) {
	group := newGroup(5)
	group.stopResponding()
	group.advance(500 * time.Millisecond)
	group.detectors[2] = New(DefaultConfig()) // restarted
	delete(group.verdicts, 2)
	group.retransmit(2, 9)
	group.advance(100 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 5)
}

// Judges with the same evidence must not all broadcast a suspicion.
func TestOneJudgeBroadcastsSuspicion(t *testing.T) {
	group := newGroup(50)
	group.retransmit(0, 1)
	group.advance(60 * time.Millisecond)
	group.retransmit(1, 2)
	group.advance(60 * time.Millisecond)
	group.retransmit(1, 3)
	group.advance(time.Second)
	assert.Equal(t, len(group.verdicts), 50)
	// The verdict on the target is sent twice, one more report to each daemon.
	assert.Assert(t, group.sent < 2*5*len(group.detectors)/2+len(group.detectors), "%d reports for one target and its zone to %d daemons", group.sent, len(group.detectors))
	assert.Equal(t, group.suspicions, 2*(len(group.detectors)-1), "want one suspicion of the target and one of its zone to each daemon")
}

// A lost verdict datagram must not leave a daemon without the verdict.
func TestVerdictIsSentTwice(t *testing.T) {
	group := newGroup(5)
	lost := 0
	group.lost = func(to int, report *Report) bool {
		if to != 2 || report.Kind != Dead || report.Subject.Zone != "" {
			return false
		}
		lost++
		return lost == 1
	}
	group.stopResponding()
	group.advance(700 * time.Millisecond)
	assert.Equal(t, lost, 2)
	assert.Equal(t, len(group.verdicts), 5)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// If the first judges cannot decide, further reports must reach others.
func TestUnavailableJudgeIsReplaced(t *testing.T) {
	group := newGroup(10)
	for judge := len(group.detectors) - DefaultConfig().InitialJudges; judge < len(group.detectors); judge++ {
		group.directories[judge].isCutOff = true
	}
	for flow := range uint64(4) {
		group.retransmit(0, flow)
		group.retransmit(1, 10+flow)
		group.advance(200 * time.Millisecond)
	}
	assert.Assert(t, len(group.verdicts) >= 8, "%v", group.verdicts)
}

// A judge that was paused while refutations arrived discards them, and must not count the pause
// as time without refutations.
func TestPausedJudgeRestartsSuspicion(t *testing.T) {
	const judge, refuter = 4, 2
	group := newGroup(5)
	group.stopResponding()
	group.directories[refuter].lastActivity = group.now
	for group.suspicions == 0 {
		group.advance(10 * time.Millisecond)
	}
	group.pauseDaemon(judge, time.Second)
	for range 20 {
		group.directories[refuter].lastActivity = group.now
		group.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(group.verdicts), 0, "%v", group.verdicts)
}
