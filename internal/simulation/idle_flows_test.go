package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
)

// pooledMaxIdle is the maximum idle time between requests on pooled flows, whose requests can't be
// retried.
const pooledMaxIdle = 3 * time.Second

// startPooledRun starts a run with flows that are reused for many requests.
func startPooledRun(seed uint64, notify NotificationMode) *flowRun {
	run := startFlowRun(seed)
	run.Notification = notify
	run.beginPooled(200)
	run.simulateFor(4)
	return run
}

func (r *flowRun) beginPooled(count int) {
	for range count {
		r.beginFlow().MaxIdle = pooledMaxIdle
	}
}

// crashTargets crashes one to three targets of a service. The addresses of some are reused by the
// other service.
func (r *flowRun) crashTargets() {
	for range 1 + r.random.IntN(3) {
		target := r.takeTarget("roster")
		if target == nil {
			return
		}
		r.CrashTarget(target)
		if r.random.IntN(2) == 0 {
			r.Clock.After(5700*time.Millisecond, func() { r.add("ledger", target.Address) })
		} else {
			r.add("roster", r.freshAddress())
		}
	}
}

// simulateCrashes repeats crashes, together with faults that resemble dead targets if disturb is
// set.
func (r *flowRun) simulateCrashes(disturb bool) {
	for range 4 {
		r.crashTargets()
		if disturb {
			r.injectLivenessFault()
		}
		r.beginPooled(40)
		r.simulateFor(4)
	}
}

// TestIdleFlowsOfDeadTargetsAreReset checks that callers of idle flows get a reset before
// their next request when the target crashes.
func TestIdleFlowsOfDeadTargetsAreReset(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooledRun(seed, NotifyAtVerdict)
		run.simulateCrashes(false)
		assert.Equal(t, run.LostAfterVerdict, 0, "seed %d: of %d lost", seed, run.LostRequests)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestRequestsAreLostWithoutResetsOfIdleFlows checks that requests are lost if only flows
// with a pending request are reset.
func TestRequestsAreLostWithoutResetsOfIdleFlows(t *testing.T) {
	t.Parallel()
	after := map[NotificationMode]int{}
	for _, notify := range []NotificationMode{NotifyAtVerdict, NotifyIfPending} {
		lost := 0
		for seed := range uint64(5) {
			run := startPooledRun(seed, notify)
			run.simulateCrashes(false)
			lost += run.LostRequests
			after[notify] += run.LostAfterVerdict
		}
		t.Logf("mode %d: %d requests lost, %d after the verdict", notify, lost, after[notify])
	}
	assert.Equal(t, after[NotifyAtVerdict], 0)
	assert.Assert(t, after[NotifyIfPending] > 50)
}

// TestNoIdleFlowOfLiveTargetIsReset crashes targets while others only look dead.
func TestNoIdleFlowOfLiveTargetIsReset(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooledRun(seed, NotifyAtVerdict)
		run.simulateCrashes(true)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestCheckDetectsResetOfIdleFlow makes daemons treat live targets as dead.
func TestCheckDetectsResetOfIdleFlow(t *testing.T) {
	t.Parallel()
	run := startPooledRun(1, NotifyAtVerdict)
	run.ResetAllIdle = true
	run.crashTargets()
	run.simulateFor(2)
	assert.Assert(t, hasViolation(run, "FLOW"), "%v", run.Violations)
}

// TestCheckDetectsHastyVerdictOnIdleFlows checks that a detector that trusts a single report,
// without probes or a refutation period, is detected.
func TestCheckDetectsHastyVerdictOnIdleFlows(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(5) {
		run := startPooledRun(seed, NotifyAtVerdict)
		run.Liveness = hastyConfig()
		run.SuppressRefutations = true
		run.rebuildPaths()
		run.simulateCrashes(true)
		found += len(run.Violations)
	}
	assert.Assert(t, found > 0)
}

func hastyConfig() liveness.Config {
	hasty := liveness.DefaultConfig()
	hasty.MinReporters, hasty.MinFlows, hasty.MinRetransmissions = 1, 1, 1
	hasty.RefutationTimeout, hasty.MinSilence, hasty.MinMissedObservations = 0, 0, 0
	return hasty
}

// rebuildPaths rebuilds all data paths with the run's current configuration.
func (r *flowRun) rebuildPaths() {
	for index := range r.paths {
		*r.paths[index] = dataPath{generation: -1}
	}
}

// TestVerdictReachesDaemonThatMissedItsDatagram uses schedules in which a daemon misses the
// datagram with a verdict, and must not forward a request to the dead target.
func TestVerdictReachesDaemonThatMissedItsDatagram(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{238, 283, 344, 347, 372, 378} {
		run := startPooledRun(seed, NotifyAtVerdict)
		run.simulateCrashes(false)
		assert.Equal(t, run.LostAfterVerdict, 0, "seed %d: of %d lost", seed, run.LostRequests)
	}
}

// TestExpiredTargetIsNotSupersededByPredecessor uses a schedule in which two daemons miss the
// removal of the previous target at an address, and must not reset the flows of the current one
// when its entry expires.
func TestExpiredTargetIsNotSupersededByPredecessor(t *testing.T) {
	t.Parallel()
	run := startFlowRun(10384)
	run.simulate()
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}

// TestTwoLossyDaemonsDeclareNoTargetDead uses a schedule in which one daemon with packet loss
// has a caller, and another one judges the target and loses both of its probes.
func TestTwoLossyDaemonsDeclareNoTargetDead(t *testing.T) {
	t.Parallel()
	run := startPooledRun(760, NotifyAtVerdict)
	run.simulateCrashes(true)
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}
