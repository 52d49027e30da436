package token

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/loadshare"
)

// sample sends a request and, after a wait, its acknowledgement in a packet with the given
// payload.
func (e *exchange) sample(latency time.Duration, payload int) {
	e.send(1, 500, 100)
	e.now = e.now.Add(latency)
	e.send(101, 1300, payload)
	if payload > 0 {
		e.send(201, 2000, 0)
	}
}

func TestLatencySamples(t *testing.T) {
	warmedUp := func(t *testing.T) *exchange {
		flow := newExchange(t)
		flow.now = flow.now.Add(time.Minute)
		for range minServiceTimeSamples {
			flow.sample(20*time.Millisecond, 0)
		}
		assert.Equal(t, len(flow.requests.TakeLatencySamples()), 0)
		return flow
	}
	assertSamples := func(t *testing.T, flow *exchange, times ...float64) {
		t.Helper()
		samples := flow.requests.TakeLatencySamples()
		assert.Equal(t, len(samples), len(times))
		for index, sample := range samples {
			assert.Equal(t, sample.Token, Of(100))
			assert.Assert(t, math.Abs(sample.Ratio/times[index]-1) < 0.15, "%.2f", sample.Ratio)
		}
	}
	t.Run("prompt acknowledgement is a sample", func(t *testing.T) {
		flow := warmedUp(t)
		flow.sample(60*time.Millisecond, 0)
		assertSamples(t, flow, 3)
		assertSamples(t, flow)
	})
	t.Run("delayed acknowledgement with the next request is not", func(t *testing.T) {
		flow := warmedUp(t)
		flow.sample(60*time.Millisecond, 100)
		assertSamples(t, flow, 0.05) // the next request, acknowledged at once
	})
	t.Run("retransmitted request is not", func(t *testing.T) {
		flow := warmedUp(t)
		flow.send(1, 500, 100)
		flow.now = flow.now.Add(200 * time.Millisecond)
		flow.sample(60*time.Millisecond, 0)
		assertSamples(t, flow)
	})
	t.Run("target in slow start is not", func(t *testing.T) {
		flow := warmedUp(t)
		flow.decision().Target.WarmAt = flow.now.Add(time.Second)
		flow.sample(60*time.Millisecond, 0)
		assertSamples(t, flow)
	})
	t.Run("path round trip seen at flow setup is subtracted", func(t *testing.T) {
		flow := newExchange(t)
		flow.now = flow.now.Add(time.Minute)
		flow.open(7)
		flow.now = flow.now.Add(10 * time.Millisecond)
		flow.send(1, 500, 0)
		for range minServiceTimeSamples {
			flow.sample(20*time.Millisecond, 0)
		}
		flow.sample(40*time.Millisecond, 0)
		assertSamples(t, flow, 3)
	})
	t.Run("samples are bounded", func(t *testing.T) {
		flow := warmedUp(t)
		for range maxLatencySamples + 10 {
			flow.sample(20*time.Millisecond, 0)
		}
		assert.Equal(t, len(flow.requests.TakeLatencySamples()), maxLatencySamples)
	})
}

func markOf(identifier uint64) loadshare.Mark { return loadshare.MarkOf(Of(identifier)) }

func TestSpeedsAreRelativeToServiceMean(t *testing.T) {
	site := newSite(t)
	speeds := map[loadshare.Mark]float64{markOf(100): 0.6, markOf(101): 1.8, markOf(200): 3}
	site.table.SetSpeeds(site.now, nil, speeds)
	for identifier, wanted := range map[uint64]float64{100: 0.5, 101: 1.5, 102: 1, 200: 1, 201: 1} {
		found := site.table.targetByIdentifier(identifier).Signal.Speed(site.now)
		assert.Assert(t, math.Abs(found-wanted) < 1e-9, "%d: %f", identifier, found)
	}
	t.Run("target without reports falls back to the mean", func(t *testing.T) {
		site.table.SetSpeeds(site.now, speeds, map[loadshare.Mark]float64{markOf(101): 1.8, markOf(200): 3})
		for _, identifier := range []uint64{100, 101} {
			assert.Equal(t, site.table.targetByIdentifier(identifier).Signal.Speed(site.now), 1.0)
		}
	})
}
