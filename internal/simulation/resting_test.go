package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
)

// pooledPause is the maximum idle time between requests on pooled flows, whose requests can't be
// retried.
const pooledPause = 3 * time.Second

// startPooled starts a run with flows that are reused for many requests.
func startPooled(seed uint64, told ToldWhen) *flowRun {
	run := startFlowRun(seed)
	run.Told = told
	run.beginPooled(200)
	run.playFor(4)
	return run
}

func (r *flowRun) beginPooled(count int) {
	for range count {
		r.begin().Pause = pooledPause
	}
}

// crashSome crashes one to three targets of a service. The addresses of some are reused by the
// other service.
func (r *flowRun) crashSome() {
	for range 1 + r.random.IntN(3) {
		target := r.take("roster")
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

// playCrashes repeats crashes, together with faults that resemble dead targets if disturb is set.
func (r *flowRun) playCrashes(disturb bool) {
	for range 4 {
		r.crashSome()
		if disturb {
			r.disturbLives()
		}
		r.beginPooled(40)
		r.playFor(4)
	}
}

// TestNoRequestGoesToATargetThatWasFoundDead checks that callers of idle flows get a reset before
// their next request when the target crashes.
func TestNoRequestGoesToATargetThatWasFoundDead(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(false)
		assert.Equal(t, run.LostAfter, 0, "seed %d: of %d lost", seed, run.Lost)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestRequestsAreLostWhereOnlyCallersThatWaitAreTold checks that requests are lost if only flows
// with a pending request are reset.
func TestRequestsAreLostWhereOnlyCallersThatWaitAreTold(t *testing.T) {
	t.Parallel()
	after := map[ToldWhen]int{}
	for _, told := range []ToldWhen{ToldAtVerdict, ToldIfWaiting} {
		lost := 0
		for seed := range uint64(5) {
			run := startPooled(seed, told)
			run.playCrashes(false)
			lost += run.Lost
			after[told] += run.LostAfter
		}
		t.Logf("mode %d: %d requests lost, %d after the verdict", told, lost, after[told])
	}
	assert.Equal(t, after[ToldAtVerdict], 0)
	assert.Assert(t, after[ToldIfWaiting] > 50)
}

// TestNoFlowThatRestsAtALivingTargetIsReset crashes targets while others only look dead.
func TestNoFlowThatRestsAtALivingTargetIsReset(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(true)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestTheChecksFindAResetOfAFlowThatRests has daemons take live targets for dead.
func TestTheChecksFindAResetOfAFlowThatRests(t *testing.T) {
	t.Parallel()
	run := startPooled(1, ToldAtVerdict)
	run.AllRestAtDead = true
	run.crashSome()
	run.playFor(2)
	assert.Assert(t, hasViolation(run, "FLOW"), "%v", run.Violations)
}

// TestAHastyVerdictResetsFlowsThatRest checks that a detector that trusts a single report, without
// probes or a refutation period, is detected.
func TestAHastyVerdictResetsFlowsThatRest(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(5) {
		run := startPooled(seed, ToldAtVerdict)
		run.Liveness = hastyConfig()
		run.NobodyObjects = true
		run.resetPaths()
		run.playCrashes(true)
		found += len(run.Violations)
	}
	assert.Assert(t, found > 0)
}

func hastyConfig() liveness.Config {
	hasty := liveness.DefaultConfig()
	hasty.Reporters, hasty.Flows, hasty.Sends = 1, 1, 1
	hasty.ObjectFor, hasty.LeastSilence, hasty.SignsMissed = 0, 0, 0
	return hasty
}

// resetPaths rebuilds all data paths with the run's current configuration.
func (r *flowRun) resetPaths() {
	for index := range r.paths {
		*r.paths[index] = dataPath{generation: -1}
	}
}

// TestAVerdictReachesWhoMissedItsDatagram uses schedules in which a daemon misses the datagram with
// a verdict, and must not forward a request to the dead target.
func TestAVerdictReachesWhoMissedItsDatagram(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{238, 283, 344, 347, 372, 378} {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(false)
		assert.Equal(t, run.LostAfter, 0, "seed %d: of %d lost", seed, run.Lost)
	}
}

// TestALapsedTargetIsNotSupersededByTheOneBefore uses a schedule in which two daemons miss the
// removal of the previous target at an address, and must not reset the flows of the current one
// when its entry expires.
func TestALapsedTargetIsNotSupersededByTheOneBefore(t *testing.T) {
	t.Parallel()
	run := startFlowRun(10384)
	run.play()
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}

// TestTwoDaemonsThatLosePacketsBuryNoTarget uses a schedule in which one daemon with packet loss
// has a caller, and another one judges the target and loses both of its probes.
func TestTwoDaemonsThatLosePacketsBuryNoTarget(t *testing.T) {
	t.Parallel()
	run := startPooled(760, ToldAtVerdict)
	run.playCrashes(true)
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}
