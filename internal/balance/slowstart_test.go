package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pickFor picks every 10 ms for the given time and returns the times at which the first candidate was
// picked.
func pickFor(duration time.Duration, targets []Candidate) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	for after := time.Duration(0); after < duration; after += 10 * time.Millisecond {
		request := requestAt(testNow.Add(after))
		index := Pick(&request, targets, random)
		if index < 0 {
			continue
		}
		targets[index].Signal.RecordPick(request.Now)
		if index == 0 {
			times = append(times, after)
		}
	}
	return times
}

func slowStartCandidates(warmAfter time.Duration) []Candidate {
	targets := candidates(2)
	targets[0].IsSlowStartLimited, targets[0].WarmAt = true, testNow.Add(warmAfter)
	return targets
}

func TestSlowStartShareIsNotExceeded(t *testing.T) {
	const share = 3
	targets := slowStartCandidates(time.Minute)
	targets[0].Signal.SetSlowStartShare(share)
	times := pickFor(20*time.Second, targets)
	assert.Assert(t, len(times) > 20, "only %d flows", len(times))
	for index := share; index < len(times); index++ {
		assert.Assert(t, times[index]-times[index-share] >= time.Second, "%v", times[index-share:index+1])
	}
}

func TestNoFlowsBeforeSlowStartShareIsSet(t *testing.T) {
	assert.Equal(t, len(pickFor(5*time.Second, slowStartCandidates(time.Minute))), 0)
	zero := slowStartCandidates(time.Minute)
	zero[0].Signal.SetSlowStartShare(0)
	assert.Equal(t, len(pickFor(5*time.Second, zero)), 0)
}

func TestWarmTargetIsNotLimited(t *testing.T) {
	assert.Assert(t, len(pickFor(5*time.Second, slowStartCandidates(time.Second))) > 100)
}

// If all targets are at their limit, the flow must wait, not be refused.
func TestAtLimitIfAllSlowStartSharesAreUsed(t *testing.T) {
	targets := slowStartCandidates(time.Minute)[:1]
	request := requestAt(testNow)
	assert.Equal(t, Pick(&request, targets, rand.New(rand.NewPCG(1, 2))), -1)
	assert.Assert(t, request.AtLimit())
}
