package token

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/loadshare"
)

// answered sends a request and, after a wait, its acknowledgement in a packet with the given
// payload.
func (e *exchange) answered(waits time.Duration, payload int) {
	e.send(1, 500, 100)
	e.now = e.now.Add(waits)
	e.send(101, 1300, payload)
	if payload > 0 {
		e.send(201, 2000, 0)
	}
}

func TestAnswersThatTellHowFastATargetWorks(t *testing.T) {
	learned := func(t *testing.T) *exchange {
		flow := newExchange(t)
		flow.now = flow.now.Add(time.Minute)
		for range promptLearnedAfter {
			flow.answered(20*time.Millisecond, 0)
		}
		assert.Equal(t, len(flow.requests.TakeAnswered()), 0)
		return flow
	}
	assertTold := func(t *testing.T, flow *exchange, times ...float64) {
		t.Helper()
		taken := flow.requests.TakeAnswered()
		assert.Equal(t, len(taken), len(times))
		for index, answered := range taken {
			assert.Equal(t, answered.Token, Of(100))
			assert.Assert(t, math.Abs(answered.Times/times[index]-1) < 0.15, "%.2f", answered.Times)
		}
	}
	t.Run("prompt acknowledgement is a sample", func(t *testing.T) {
		flow := learned(t)
		flow.answered(60*time.Millisecond, 0)
		assertTold(t, flow, 3)
		assertTold(t, flow)
	})
	t.Run("delayed acknowledgement with the next request is not", func(t *testing.T) {
		flow := learned(t)
		flow.answered(60*time.Millisecond, 100)
		assertTold(t, flow, 0.05) // the next request, acknowledged at once
	})
	t.Run("retransmitted request is not", func(t *testing.T) {
		flow := learned(t)
		flow.send(1, 500, 100)
		flow.now = flow.now.Add(200 * time.Millisecond)
		flow.answered(60*time.Millisecond, 0)
		assertTold(t, flow)
	})
	t.Run("target in slow start is not", func(t *testing.T) {
		flow := learned(t)
		flow.decision().Target.WarmAt = flow.now.Add(time.Second)
		flow.answered(60*time.Millisecond, 0)
		assertTold(t, flow)
	})
	t.Run("path round trip seen at flow setup is subtracted", func(t *testing.T) {
		flow := newExchange(t)
		flow.now = flow.now.Add(time.Minute)
		flow.open(7)
		flow.now = flow.now.Add(10 * time.Millisecond)
		flow.send(1, 500, 0)
		for range promptLearnedAfter {
			flow.answered(20*time.Millisecond, 0)
		}
		flow.answered(40*time.Millisecond, 0)
		assertTold(t, flow, 3)
	})
	t.Run("samples are bounded", func(t *testing.T) {
		flow := learned(t)
		for range mostAnswered + 10 {
			flow.answered(20*time.Millisecond, 0)
		}
		assert.Equal(t, len(flow.requests.TakeAnswered()), mostAnswered)
	})
}

func markOf(identifier uint64) loadshare.Mark { return loadshare.MarkOf(Of(identifier)) }

func TestSpeedsAreAsOfTheMeanOfAService(t *testing.T) {
	made := newSite(t)
	told := map[loadshare.Mark]float64{markOf(100): 0.6, markOf(101): 1.8, markOf(200): 3}
	made.table.SetSpeeds(made.now, nil, told)
	for identifier, wanted := range map[uint64]float64{100: 0.5, 101: 1.5, 102: 1, 200: 1, 201: 1} {
		found := made.table.targetOf(identifier).Signal.Speed(made.now)
		assert.Assert(t, math.Abs(found-wanted) < 1e-9, "%d: %f", identifier, found)
	}
	t.Run("target without reports falls back to the mean", func(t *testing.T) {
		made.table.SetSpeeds(made.now, told, map[loadshare.Mark]float64{markOf(101): 1.8, markOf(200): 3})
		for _, identifier := range []uint64{100, 101} {
			assert.Equal(t, made.table.targetOf(identifier).Signal.Speed(made.now), 1.0)
		}
	})
}
