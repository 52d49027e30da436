package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/steering/token"
)

// restartTarget crashes a target, which restarts with the same identifier, at once or after it was
// declared dead or its entry expired, at the same or another address.
func (r *flowRun) restartTarget() {
	service := r.service()
	target := r.takeTarget(service)
	if target == nil {
		return
	}
	address := target.Address
	if r.random.IntN(3) == 0 {
		address = r.freshAddress()
	}
	after := 200*time.Millisecond + time.Duration(r.random.Int64N(int64(6*time.Second)))
	r.RestartTarget(target, after, address, func(later *FlowTarget) { r.activeTargets[service] = append(r.activeTargets[service], later) })
}

// simulateRestarts runs flows with idle times while targets restart, mixed with other faults.
func (r *flowRun) simulateRestarts(seconds int) {
	for second := range seconds {
		r.restartTarget()
		switch {
		case second%4 == 3:
			r.injectEvent()
		case second%4 == 1:
			r.injectLivenessFault()
		}
		for range flowsPerSecond {
			r.beginFlow().MaxIdle = time.Second
			r.Clock.Advance(time.Second / flowsPerSecond)
		}
	}
	r.Clock.Advance(10 * time.Second)
}

// TestFlowInvariantsHoldDuringTargetRestarts combines target restarts with drains,
// reused addresses, packet loss, paused and killed daemons, and store outages.
func TestFlowInvariantsHoldDuringTargetRestarts(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startFlowRun(seed)
		run.simulateRestarts(20)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		assert.Assert(t, run.Opened > run.Begun/2, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
	})
}

// TestRestartedTargetIsUsedImmediately checks that a verdict on an earlier incarnation neither
// keeps flows from the later one nor resets its flows.
func TestRestartedTargetIsUsedImmediately(t *testing.T) {
	t.Parallel()
	opened := func(omitIncarnations bool) (opened int, violations []string) {
		for seed := range uint64(10) {
			run := startFlowRun(seed)
			run.OmitIncarnations = omitIncarnations
			run.simulateFor(5)
			crashed := run.takeTarget("roster")
			run.RestartTarget(crashed, 1500*time.Millisecond, crashed.Address, func(later *FlowTarget) { crashed = later })
			run.simulateFor(3)
			opened += len(crashed.flows)
			violations = append(violations, run.Violations...)
		}
		return opened, violations
	}
	distinguished, violations := opened(false)
	assert.Equal(t, len(violations), 0, "%v", violations)
	undistinguished, _ := opened(true)
	assert.Assert(t, distinguished > undistinguished, "%d flows opened at later incarnations that entries distinguish, %d at others", distinguished, undistinguished)
}

// TestCheckDetectsVerdictOnEarlierIncarnation applies the verdict on an earlier incarnation to the
// later one.
func TestCheckDetectsVerdictOnEarlierIncarnation(t *testing.T) {
	t.Parallel()
	run := startFlowRun(1)
	restarted := map[uint64]bool{}
	run.Corrupt = func(_ *token.Packet, decision *token.Decision) {
		if decision.Target != nil && restarted[decision.Target.Identifier] && decision.Reason == token.ReasonNone {
			decision.Action, decision.Reason = token.Refuse, token.ReasonDeadTarget
		}
	}
	run.simulateFor(2)
	crashed := run.takeTarget("roster")
	run.RestartTarget(crashed, time.Second, crashed.Address, func(later *FlowTarget) {
		run.Clock.After(3*time.Second, func() { restarted[later.Identifier] = true })
	})
	run.simulateFor(8)
	assert.Assert(t, hasViolation(run, "FLOW"), "%v", run.Violations)
}
