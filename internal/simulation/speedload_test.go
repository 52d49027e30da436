package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unequalSpeeds are the speeds of a service of which one target in four is slower.
var unequalSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

// speedLoadAt returns the load of a zone of 30 targets whose slots are busy for 0.14 of the time at
// the usual load, and for 0.7 at five times that.
func speedLoadAt(daemons int, load float64) SpeedLoadConfig {
	return SpeedLoadConfig{
		Daemons: daemons, Targets: 30, Speeds: unequalSpeeds, FleetDaemons: 4 * daemons,
		Feeds: int(60 * load), FeedLife: 8 * time.Second, FeedPause: 220 * time.Millisecond, FeedWork: 30 * time.Millisecond,
		FreshPerSecond: 62 * load, FreshWork: 39 * time.Millisecond,
		LateShare: 0.02, Queue: 8, LearnSpeeds: true, From: 10 * time.Second, Span: 25 * time.Second, Seed: 1,
	}
}

// meanSpeedLoad returns the sum of counts and the mean of other results over some seeds, with or
// without learned speeds.
func meanSpeedLoad(config SpeedLoadConfig, learns bool) SpeedLoadResult {
	const seeds = 2
	var mean SpeedLoadResult
	for seed := range uint64(seeds) {
		config.Seed, config.LearnSpeeds = seed, learns
		result := SpeedLoad(config)
		mean.Arrivals += result.Arrivals
		mean.Rejected += result.Rejected
		mean.BusiestToMean += result.BusiestToMean / seeds
		mean.P50 += result.P50 / seeds
		mean.P99 += result.P99 / seeds
		mean.MessageBytes += result.MessageBytes / seeds
		mean.Estimates = result.Estimates
	}
	return mean
}

func logSpeedLoad(t *testing.T, without, with SpeedLoadResult) {
	t.Helper()
	t.Logf("rejected %d to %d of %d, busiest %.2f to %.2f, p50 %s to %s, p99 %s to %s, %.0f to %.0f B/s, estimates %.2f",
		without.Rejected, with.Rejected, with.Arrivals, without.BusiestToMean, with.BusiestToMean,
		without.P50.Round(time.Millisecond), with.P50.Round(time.Millisecond),
		without.P99.Round(time.Millisecond), with.P99.Round(time.Millisecond), without.MessageBytes, with.MessageBytes, with.Estimates)
}

// TestLoadFollowsTargetSpeeds covers zones of fleets of 12, 88 and 350 daemons. Without learned
// speeds the larger ones exceed the bound.
func TestLoadFollowsTargetSpeeds(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{3, 22, 88} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			if testing.Short() && daemons > 3 {
				t.Skip("takes long")
			}
			config := speedLoadAt(daemons, 5)
			without, with := meanSpeedLoad(config, false), meanSpeedLoad(config, true)
			logSpeedLoad(t, without, with)
			assert.Assert(t, with.BusiestToMean < 1.2)
			assert.Assert(t, with.MessageBytes < 2100)
			if daemons < 22 {
				assert.Assert(t, with.P99 < without.P99*105/100)
				return
			}
			assert.Assert(t, without.BusiestToMean > 1.2)
			assert.Assert(t, with.P99 < without.P99*8/10)
			if daemons == 88 {
				assert.Assert(t, without.Rejected > 400 && with.Rejected < without.Rejected/2)
			}
		})
	}
	t.Run("at the usual load", func(t *testing.T) {
		config := speedLoadAt(22, 1)
		without, with := meanSpeedLoad(config, false), meanSpeedLoad(config, true)
		logSpeedLoad(t, without, with)
		assert.Assert(t, with.BusiestToMean < without.BusiestToMean*9/10)
		assert.Assert(t, with.P99 < without.P99)
	})
}

// TestLearnedSpeedsDoNotHarmEqualTargets checks that noise in the estimates of equal targets does
// no harm.
func TestLearnedSpeedsDoNotHarmEqualTargets(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{3, 22, 88} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			if testing.Short() && daemons > 3 {
				t.Skip("takes long")
			}
			config := speedLoadAt(daemons, 5)
			config.Speeds = []float64{1}
			without, with := meanSpeedLoad(config, false), meanSpeedLoad(config, true)
			logSpeedLoad(t, without, with)
			assert.Assert(t, with.P99 < without.P99*105/100)
			assert.Assert(t, with.BusiestToMean < without.BusiestToMean*1.05)
			assert.Assert(t, with.Rejected < without.Rejected*115/100+10)
		})
	}
}

// firstEstimate returns the speed estimate of the first of equal targets after duration. The target
// is slow for 20 s, or in slow start for 3 s.
func firstEstimate(isSlowStart bool, duration time.Duration) float64 {
	config := speedLoadAt(22, 3)
	config.Speeds, config.IsSlowStart, config.Span = []float64{1}, isSlowStart, duration
	config.SlowTargets, config.SlowFrom, config.SlowUntil = 1, 10*time.Second, 30*time.Second
	if isSlowStart {
		config.SlowUntil = 13 * time.Second
	}
	return SpeedLoad(config).Estimates[0]
}

func TestEstimatesFollowTargetSpeeds(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	t.Run("slow target", func(t *testing.T) {
		speed := firstEstimate(false, 30*time.Second)
		assert.Assert(t, speed < 0.6, "%.2f", speed)
	})
	t.Run("recovered target", func(t *testing.T) {
		speed := firstEstimate(false, 60*time.Second)
		assert.Assert(t, speed > 0.85, "%.2f", speed)
	})
	t.Run("target after slow start", func(t *testing.T) {
		speed := firstEstimate(true, 14*time.Second)
		assert.Assert(t, speed > 0.85, "%.2f", speed)
	})
}

// TestFalseSpeedsOfOneDaemonHaveLittleEffect checks that one daemon that gossips wrong speeds
// hardly changes the estimates of the others. It balances its own share of the flows badly.
func TestFalseSpeedsOfOneDaemonHaveLittleEffect(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	for _, daemons := range []int{3, 22} {
		config := speedLoadAt(daemons, 5)
		without, honest := meanSpeedLoad(config, false), meanSpeedLoad(config, true)
		config.Liars = 1
		withLiar := meanSpeedLoad(config, true)
		logSpeedLoad(t, honest, withLiar)
		for index := range 4 {
			moved := math.Abs(meanEvery4(withLiar.Estimates, index) - meanEvery4(honest.Estimates, index))
			assert.Assert(t, moved < 0.1, "%.2f", moved)
		}
		assert.Assert(t, withLiar.BusiestToMean < honest.BusiestToMean*1.1)
		if daemons == 22 {
			assert.Assert(t, withLiar.P99 < (honest.P99+without.P99)/2)
		}
	}
}

// meanEvery4 returns the mean of every fourth value, starting at an index.
func meanEvery4(values []float64, from int) float64 {
	var sum float64
	count := 0
	for ; from < len(values); from += 4 {
		sum += values[from]
		count++
	}
	return sum / float64(count)
}
