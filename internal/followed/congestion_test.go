package followed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// congestedFollower returns a follower without a configuration whose last answer from the store
// had the given latency.
func congestedFollower(beganAfter time.Duration) *Follower {
	follower := newTestFollower()
	follower.avoidsCongestion = true
	follower.recordLatency(&Call{}, &Answer{Outcome: OutcomeAnswered, TimeToFirstByte: beganAfter})
	return follower
}

// meanDelay returns the mean of many draws of the congestion delay.
func meanDelay(follower *Follower) time.Duration {
	const draws = 1000
	var sum time.Duration
	for range draws {
		sum += follower.congestionDelay()
	}
	return sum / draws
}

func TestCongestionDelay(t *testing.T) {
	t.Run("the delay grows with the latency, up to a bound", func(t *testing.T) {
		short, long := meanDelay(congestedFollower(100*time.Millisecond)), meanDelay(congestedFollower(300*time.Millisecond))
		assert.Assert(t, short > 400*time.Millisecond && short < 800*time.Millisecond, "%s", short)
		assert.Assert(t, long > 2*short, "%s, %s", short, long)
		assert.Assert(t, meanDelay(congestedFollower(time.Minute)) < DefaultConfig().PagedSpread.MaxDelay)
	})
	t.Run("no delay at low latency", func(t *testing.T) {
		assert.Equal(t, congestedFollower(10*time.Millisecond).congestionDelay(), time.Duration(0))
	})
	t.Run("no delay before the first answer", func(t *testing.T) {
		follower := newTestFollower()
		follower.avoidsCongestion = true
		follower.recordLatency(&Call{Timeout: time.Second}, &Answer{Outcome: OutcomeFailed})
		assert.Equal(t, follower.congestionDelay(), time.Duration(0))
	})
	t.Run("no delay on seeds", func(t *testing.T) {
		follower := congestedFollower(time.Second)
		follower.avoidsCongestion = false
		assert.Equal(t, follower.congestionDelay(), time.Duration(0))
	})
	t.Run("no delay with a configuration", func(t *testing.T) {
		follower := congestedFollower(time.Second)
		follower.MergeDelta(testStart, snapshotDelta())
		assert.Equal(t, follower.congestionDelay(), time.Duration(0))
	})
	t.Run("a timeout after an answer counts as latency", func(t *testing.T) {
		follower := congestedFollower(10 * time.Millisecond)
		follower.recordLatency(&Call{Timeout: time.Second}, &Answer{Outcome: OutcomeFailed})
		assert.Assert(t, meanDelay(follower) > 2*time.Second)
	})
}

// When the store is congested, the delay before the next page spreads the daemons, so that only
// a few read on.
func TestFewDaemonsReadPagesOfCongestedStore(t *testing.T) {
	const daemons = 1000
	early := 0
	for number := range daemons {
		follower := newTestFollower()
		follower.avoidsCongestion = true
		for range number {
			follower.random.Uint64()
		}
		page := answered(follower.Tick(testStart).Call, 20, targetEntry("a", 18))
		page.More, page.TimeToFirstByte = true, 300*time.Millisecond
		follower.Step(testStart, page)
		if follower.Tick(testStart.Add(500*time.Millisecond)).Call != nil {
			early++
		}
	}
	assert.Assert(t, early > 0 && early < daemons/50, "%d", early)
}

// TestEarlyReaderCompletesList guards against a starting fleet in which every daemon waits before each
// page of a congested store, so that none completes the list while the store is unreachable for the seeds.
func TestEarlyReaderCompletesList(t *testing.T) {
	const daemons = 10_000
	early := 0
	for seed := range uint64(daemons) {
		follower := congestedFollower(300 * time.Millisecond)
		follower.random = rand.New(rand.NewPCG(seed, 1))
		follower.congestionDelay()
		if follower.congestionDelay() == 0 {
			early++
		}
	}
	assert.Assert(t, early > 0 && early < daemons/500, "%d", early)
	t.Run("until a call fails", func(t *testing.T) {
		follower := congestedFollower(300 * time.Millisecond)
		follower.readsEarly = true
		assert.Equal(t, follower.congestionDelay(), time.Duration(0))
		var output Output
		follower.recordFailure(OutcomeFailed, "", &output)
		assert.Assert(t, meanDelay(follower) > 0)
	})
}
