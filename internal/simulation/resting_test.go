package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
)

// pooledPause is how long at most callers of pooled flows rest between requests, which may
// not be repeated.
const pooledPause = 3 * time.Second

// startPooled starts a run with flows that callers keep for many requests.
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

// crashSome crashes part of a service at once. The addresses of some go to another service.
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

// playCrashes plays crashes beside a trouble that looks like death, if disturb is set.
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

// TestNoRequestGoesToATargetThatWasFoundDead: flows rest when their target crashes, and their
// callers know before they send again.
func TestNoRequestGoesToATargetThatWasFoundDead(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(false)
		assert.Equal(t, run.LostAfter, 0, "seed %d: of %d lost", seed, run.Lost)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestRequestsAreLostWhereOnlyCallersThatWaitAreTold shows what the resets are for.
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
		t.Logf("way %d: %d requests lost, %d after the verdict", told, lost, after[told])
	}
	assert.Equal(t, after[ToldAtVerdict], 0)
	assert.Assert(t, after[ToldIfWaiting] > 50)
}

// TestNoFlowThatRestsAtALivingTargetIsReset: targets crash beside others that only look dead.
func TestNoFlowThatRestsAtALivingTargetIsReset(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(true)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestTheChecksFindAResetOfAFlowThatRests: a daemon takes a living target for dead.
func TestTheChecksFindAResetOfAFlowThatRests(t *testing.T) {
	t.Parallel()
	run := startPooled(1, ToldAtVerdict)
	run.AllRestAtDead = true
	run.crashSome()
	run.playFor(2)
	assert.Assert(t, hasViolation(run, "FLOW"), "%v", run.Violations)
}

// TestAHastyVerdictResetsFlowsThatRest: the check finds a detector that takes one daemon's
// word, and neither probes nor waits for objections.
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

// resetPaths has all data paths begin anew, with the run's bounds.
func (r *flowRun) resetPaths() {
	for index := range r.paths {
		*r.paths[index] = dataPath{generation: -1}
	}
}

// TestAVerdictReachesWhoMissedItsDatagram: in these schedules a daemon did, and a request went
// through it to a target that was known to be dead.
func TestAVerdictReachesWhoMissedItsDatagram(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{238, 283, 344, 347, 372, 378} {
		run := startPooled(seed, ToldAtVerdict)
		run.playCrashes(false)
		assert.Equal(t, run.LostAfter, 0, "seed %d: of %d lost", seed, run.Lost)
	}
}

// TestALapsedTargetIsNotSupersededByTheOneBefore: in this schedule two daemons had not heard that
// the target had gone that ran at the address before, and reset the flows of the living one when
// its entry lapsed.
func TestALapsedTargetIsNotSupersededByTheOneBefore(t *testing.T) {
	t.Parallel()
	run := startFlowRun(10384)
	run.play()
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}

// TestTwoDaemonsThatLosePacketsBuryNoTarget: in this schedule one of them had a caller, and the
// other one judged and lost both of its probes.
func TestTwoDaemonsThatLosePacketsBuryNoTarget(t *testing.T) {
	t.Parallel()
	run := startPooled(760, ToldAtVerdict)
	run.playCrashes(true)
	assert.Equal(t, len(run.Violations), 0, "%v", run.Violations)
}
