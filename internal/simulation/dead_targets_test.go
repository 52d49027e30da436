package simulation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
)

// simulateFor begins flows at a constant rate for some time.
func (r *flowRun) simulateFor(seconds int) {
	for range seconds * flowsPerSecond {
		r.beginFlow()
		r.Clock.Advance(time.Second / flowsPerSecond)
	}
}

// injectLivenessFault injects a random fault that makes live targets look dead to some daemons.
func (r *flowRun) injectLivenessFault() {
	daemon, duration := r.random.IntN(flowDaemons), time.Second+time.Duration(r.random.Int64N(int64(3*time.Second)))
	target := r.activeTargets["roster"][r.random.IntN(len(r.activeTargets["roster"]))]
	switch r.random.IntN(7) {
	case 0:
		lossy := r.random.IntN(flowDaemons)
		r.LossProbability = func(daemon int) float64 {
			return []float64{0, 0.3}[boolToInt(daemon == lossy || daemon == (lossy+1)%flowDaemons)]
		}
		r.Clock.After(duration, func() { r.LossProbability = nil })
	case 1:
		r.IsCutOff = func(from int, to *FlowTarget) bool { return from == daemon && to == target }
		r.Clock.After(duration, func() { r.IsCutOff = nil })
	case 2:
		r.IsCutOff = func(from int, _ *FlowTarget) bool { return from == daemon || from == (daemon+1)%flowDaemons }
		r.Clock.After(duration, func() { r.IsCutOff = nil })
	case 3:
		r.Pause(daemon, duration)
	case 4:
		target.Hangs = true
		r.Clock.After(duration, func() { target.Hangs = false })
	case 5:
		r.ResponseTime = duration / 2
		r.Clock.After(duration, func() { r.ResponseTime = 0 })
	case 6:
		r.restart(daemon, duration/3)
	}
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// violationsWithoutDeadTargets runs a schedule without dead targets and returns the violations.
func violationsWithoutDeadTargets(seed uint64, config liveness.Config, suppressRefutations bool) []string {
	run := startFlowRun(seed)
	run.Liveness, run.SuppressRefutations = config, suppressRefutations
	for index := range run.paths {
		*run.paths[index] = dataPath{generation: -1}
	}
	for range 15 {
		run.injectLivenessFault()
		run.simulateFor(2)
	}
	return run.Violations
}

// TestNoFlowOfLiveTargetIsReset covers faults that resemble dead targets: packet loss, targets
// cut off from some daemons, daemons that pause or restart, targets that hang or are slow.
func TestNoFlowOfLiveTargetIsReset(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		violations := violationsWithoutDeadTargets(seed, liveness.DefaultConfig(), false)
		assert.Equal(t, len(violations), 0, "seed %d: %v", seed, violations)
	})
}

// TestIsolatedJudgesDeclareNoTargetDead uses a schedule in which two daemons lose contact with
// all targets between another daemon's report of a retransmission and their own probes.
func TestIsolatedJudgesDeclareNoTargetDead(t *testing.T) {
	t.Parallel()
	violations := violationsWithoutDeadTargets(606, liveness.DefaultConfig(), false)
	assert.Equal(t, len(violations), 0, "%v", violations)
}

// TestCheckDetectsHastyLivenessDetector checks that a detector that trusts a single report, without
// probes or a refutation period, is detected.
func TestCheckDetectsHastyLivenessDetector(t *testing.T) {
	t.Parallel()
	hasty := hastyConfig()
	found := 0
	for seed := range uint64(5) {
		found += len(violationsWithoutDeadTargets(seed, hasty, true))
	}
	assert.Assert(t, found > 0)
}

// notificationDelays crashes three targets at once. It returns how long callers with open flows to
// them waited for a reset, or until the end of the run.
func notificationDelays(seed uint64, notify NotificationMode) []time.Duration {
	run := startFlowRun(seed)
	run.Notification = notify
	for range 10 * flowsPerSecond {
		run.beginFlow()
		run.Clock.Advance(time.Second / flowsPerSecond)
	}
	run.ResetDelays = nil
	crashed := map[*FlowTarget]bool{}
	for _, target := range run.activeTargets["roster"][:3] {
		run.CrashTarget(target)
		crashed[target] = true
	}
	run.simulateFor(3)
	waits := run.ResetDelays
	for _, flow := range run.flows {
		if flow.Opened && !flow.Ended && crashed[flow.Target] {
			waits = append(waits, run.Clock.Now().Sub(flow.requestedAt))
		}
	}
	return waits
}

// TestCallersOfDeadTargetsAreNotifiedQuickly compares three modes of notification.
func TestCallersOfDeadTargetsAreNotifiedQuickly(t *testing.T) {
	t.Parallel()
	median := map[NotificationMode]time.Duration{}
	for _, notify := range []NotificationMode{NotifyAtVerdict, NotifyAtNextPacket, NotifyNever} {
		var waits []time.Duration
		for seed := range uint64(5) {
			waits = append(waits, notificationDelays(seed, notify)...)
		}
		slices.Sort(waits)
		assert.Assert(t, len(waits) > 50)
		median[notify] = waits[len(waits)/2]
		t.Logf("mode %d: %d callers, half notified within %s, nine tenths within %s", notify, len(waits), median[notify], waits[len(waits)*9/10])
	}
	assert.Assert(t, median[NotifyAtVerdict] <= median[NotifyAtNextPacket])
	assert.Assert(t, median[NotifyAtVerdict] < 1200*time.Millisecond)
	assert.Assert(t, median[NotifyNever] > 2*time.Second)
}

// TestIdleTargetOfUnresponsiveZoneKeepsItsFlows crashes all other targets of a zone while one target
// drains and its callers are idle, so that it shows no activity.
func TestIdleTargetOfUnresponsiveZoneKeepsItsFlows(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startFlowRun(seed)
		run.simulateFor(4)
		zone := slices.DeleteFunc(slices.Concat(run.activeTargets["roster"], run.activeTargets["ledger"]), func(target *FlowTarget) bool { return target.Zone != testZones[0] })
		if len(zone) < 2 {
			return // the seed put too few targets into the zone
		}
		idle := zone[0]
		for _, flow := range run.flows {
			if flow.Target == idle && !flow.Ended {
				flow.IdleUntil = run.Clock.Now().Add(2 * time.Second)
			}
		}
		run.DrainTarget(idle)
		run.Clock.Advance(500 * time.Millisecond)
		for _, target := range zone[1:] {
			run.CrashTarget(target)
		}
		run.simulateFor(4)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestDeadTargetDoesNotAffectItsZone checks that other targets of the zone, which may be
// idle and show no activity, aren't declared dead.
func TestDeadTargetDoesNotAffectItsZone(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startFlowRun(seed)
		run.simulateFor(3)
		run.CrashTarget(run.activeTargets["roster"][int(seed)%len(run.activeTargets["roster"])])
		run.simulateFor(5)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestCallersOfLostZoneWithFewFlowsPerTargetAreNotified crashes a zone in which hardly any target
// has several callers with pending requests.
func TestCallersOfLostZoneWithFewFlowsPerTargetAreNotified(t *testing.T) {
	t.Parallel()
	var waits []time.Duration
	for seed := range uint64(5) {
		run := startFlowRun(seed)
		for range 300 {
			run.add("roster", run.freshAddress())
		}
		run.Clock.Advance(time.Second)
		run.simulateFor(4)
		run.ResetDelays = nil
		for _, target := range slices.Concat(run.activeTargets["roster"], run.activeTargets["ledger"]) {
			if target.Zone == testZones[0] {
				run.CrashTarget(target)
			}
		}
		run.simulateFor(2)
		waits = append(waits, run.ResetDelays...)
	}
	slices.Sort(waits)
	assert.Assert(t, len(waits) > 60, "%d callers were notified", len(waits))
	t.Logf("%d callers, half notified within %s, nine tenths within %s", len(waits), waits[len(waits)/2], waits[len(waits)*9/10])
	assert.Assert(t, waits[len(waits)/2] < 800*time.Millisecond)
}
