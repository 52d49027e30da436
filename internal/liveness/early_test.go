package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneDaemonsCallerAndFailedProbesAreEnough: neither path explains both.
func TestOneDaemonsCallerAndFailedProbesAreEnough(t *testing.T) {
	group := newGroup(5)
	group.repeat(0, 1)
	group.advance(300 * time.Millisecond)
	assert.Equal(t, len(group.verdicts), 5)
	for _, verdict := range group.verdicts {
		assert.Assert(t, verdict.Silence >= DefaultConfig().LeastSilence)
	}
}

// TestOneDaemonThatReachesNoTargetBuriesNone, whether it judges or not.
func TestOneDaemonThatReachesNoTargetBuriesNone(t *testing.T) {
	for _, reporter := range []int{0, 4} { // the last two judge
		group := newGroup(5)
		group.reaches = func(daemon int) bool { return daemon != reporter }
		for flow := range uint64(10) {
			group.repeat(reporter, flow)
			group.advance(200 * time.Millisecond)
		}
		assert.Equal(t, len(group.verdicts), 0, "reporter %d", reporter)
	}
}

// TestASecondJudgeThatReachesTheTargetObjects: the first one's probe and a caller's packets
// are lost.
func TestASecondJudgeThatReachesTheTargetObjects(t *testing.T) {
	for judge := 3; judge < 5; judge++ {
		group := newGroup(5)
		group.reaches = func(daemon int) bool { return daemon == judge }
		for flow := range uint64(10) {
			group.repeat(0, flow)
			group.advance(200 * time.Millisecond)
		}
		assert.Equal(t, len(group.verdicts), 0, "judge %d", judge)
	}
}

// TestWithoutItsObjectionALivingTargetIsBuried shows what the second judge is for.
func TestWithoutItsObjectionALivingTargetIsBuried(t *testing.T) {
	group := newGroup(5)
	group.reaches = func(daemon int) bool { return daemon == 3 }
	group.lost = func(_ int, report *Report) bool { return report.Kind == Alive }
	for flow := range uint64(10) {
		group.repeat(0, flow)
		group.advance(200 * time.Millisecond)
	}
	assert.Assert(t, len(group.verdicts) > 0)
}

// TestEarlyProbesAreBounded: lost packets make one daemon report many targets.
func TestEarlyProbesAreBounded(t *testing.T) {
	const targets, seconds = 300, 3
	group := newGroup(3)
	group.answersProbes = true
	for range seconds {
		for other := range uint64(targets) {
			group.detectors[0].Observe(group.now, group.directories[0], target+other, other, group.now.Add(-200*time.Millisecond))
		}
		group.advance(time.Second)
	}
	config, judges := DefaultConfig(), 2.0
	most := judges * (config.EarlyBurst + seconds*config.EarlyProbes)
	assert.Assert(t, group.probes > 0 && float64(group.probes) <= most, "%d probes, %v allowed", group.probes, most)
}
