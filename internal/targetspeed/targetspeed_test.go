package targetspeed

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/loadshare"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const slowTarget, usualTarget = loadshare.Mark(7), loadshare.Mark(8)

func daemonAt(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:7000", number))
}

// note records responses of one target.
func note(exchange *Exchange, now time.Time, target loadshare.Mark, count int, ratio float64) {
	for range count {
		exchange.Record(now, target, ratio)
	}
}

// receiveReports returns an exchange that has received a report from one daemon per given latency ratio.
func receiveReports(t *testing.T, now time.Time, ratios ...float64) *Exchange {
	t.Helper()
	first := NewExchange(daemonAt(1), 0)
	for index, ratio := range ratios {
		other := NewExchange(daemonAt(2+index), 0)
		note(other, now, slowTarget, 20, ratio)
		other.Tick(now)
		assert.Equal(t, first.HandleMessage(now, other.Message(now)), 0)
	}
	return first
}

func speedOf(exchange *Exchange, now time.Time, target loadshare.Mark) float64 {
	return exchange.Estimates(now)[target].Speed
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.05, "%.3f instead of %.2f", got, want)
}

func TestEstimates(t *testing.T) {
	t.Run("doubled latency gives nearly half the speed", func(t *testing.T) {
		assertNear(t, speedOf(receiveReports(t, testNow, 2, 2, 2, 2), testNow, slowTarget), 0.55)
	})
	t.Run("few responses have little effect", func(t *testing.T) {
		exchange := NewExchange(daemonAt(1), 0)
		note(exchange, testNow, slowTarget, 1, 4)
		assert.Assert(t, speedOf(exchange, testNow, slowTarget) > 0.75)
	})
	t.Run("observations decay and are dropped", func(t *testing.T) {
		exchange := receiveReports(t, testNow, 4, 4, 4)
		note(exchange, testNow, slowTarget, 20, 4)
		later := speedOf(exchange, testNow.Add(4*decayTime), slowTarget)
		assert.Assert(t, later > 0.7, "%.2f", later)
		exchange.Tick(testNow.Add(6 * decayTime))
		assert.Equal(t, len(exchange.Estimates(testNow.Add(6*decayTime))), 0)
	})
	t.Run("a recovery shows within two decay time constants", func(t *testing.T) {
		exchange := NewExchange(daemonAt(1), 0)
		note(exchange, testNow, slowTarget, 50, 4)
		for second := range int(2 * decayTime / time.Second) {
			note(exchange, testNow.Add(time.Duration(second)*time.Second), slowTarget, 4, 1)
		}
		assert.Assert(t, speedOf(exchange, testNow.Add(2*decayTime), slowTarget) > 0.8)
	})
	t.Run("the effect of a single response is bounded", func(t *testing.T) {
		exchange := NewExchange(daemonAt(1), 0)
		note(exchange, testNow, usualTarget, 20, 1)
		note(exchange, testNow, usualTarget, 1, 1e12)
		assert.Assert(t, speedOf(exchange, testNow, usualTarget) > 0.9)
	})
	t.Run("invalid ratios are ignored", func(t *testing.T) {
		exchange := NewExchange(daemonAt(1), 0)
		for _, ratio := range []float64{0, -1, math.NaN()} {
			note(exchange, testNow, usualTarget, 20, ratio)
		}
		assert.Equal(t, len(exchange.Estimates(testNow)), 0)
	})
}

// A single daemon must not dominate the estimate, whatever ratio and weight it reports.
func TestSingleDaemonDoesNotDominate(t *testing.T) {
	for _, ratio := range []float64{0.2, 5} {
		assertNear(t, speedOf(receiveReports(t, testNow, 1, 1, ratio), testNow, slowTarget), 1)
		assert.Equal(t, estimateOf([]observation{{0, 3}, {0, 3}, {math.Log(ratio), maxWeight}}).Speed, 1.0)
	}
	t.Run("one of two daemons has at most half of the weight", func(t *testing.T) {
		observations := []observation{{0, 4}, {math.Log(4), maxWeight}}
		assert.Assert(t, estimateOf(observations).Speed > 0.5)
	})
}

func TestReports(t *testing.T) {
	t.Run("are forwarded, and duplicates ignored", func(t *testing.T) {
		first := receiveReports(t, testNow, 2)
		second := NewExchange(daemonAt(9), 0)
		message := first.Message(testNow)
		for range 2 {
			assert.Equal(t, second.HandleMessage(testNow, message), 0)
		}
		assert.Equal(t, second.Estimates(testNow)[slowTarget].Observations, 20.0)
	})
	t.Run("replace only older ones of the same daemon", func(t *testing.T) {
		other, first := NewExchange(daemonAt(2), 0), NewExchange(daemonAt(1), 0)
		note(other, testNow, slowTarget, 20, 2)
		other.Tick(testNow)
		old := other.Message(testNow)
		later := testNow.Add(ReportInterval)
		note(other, later, slowTarget, 200, 1)
		other.Tick(later)
		assert.Equal(t, first.HandleMessage(later, other.Message(later)), 0)
		assert.Equal(t, first.HandleMessage(later, old), 0)
		assert.Assert(t, speedOf(first, later, slowTarget) > 0.9)
	})
	t.Run("cover the targets with the most observations first", func(t *testing.T) {
		other, first := NewExchange(daemonAt(2), 0), NewExchange(daemonAt(1), 0)
		for target := range loadshare.Mark(maxEntries + 5) {
			note(other, testNow, target, 1+int(target), 1)
		}
		for round, known := range []int{maxEntries, maxEntries + 5} {
			now := testNow.Add(time.Duration(round) * ReportInterval)
			other.Tick(now)
			message := other.Message(now)
			assert.Assert(t, len(message) <= MaxMessageBytes)
			first.HandleMessage(now, message)
			assert.Equal(t, len(first.Estimates(now)), known)
		}
	})
	t.Run("expire", func(t *testing.T) {
		first := receiveReports(t, testNow, 2)
		assert.Equal(t, len(first.Message(testNow.Add(forwardTTL))), 0)
	})
	t.Run("do not prevent older daemons from reading open-flow reports", func(t *testing.T) {
		loads, receiver := loadshare.New(daemonAt(1), 0), loadshare.New(daemonAt(2), 0)
		loads.Tick(testNow, func() map[uint32]int { return map[uint32]int{0x70000: 3} })
		speeds := receiveReports(t, testNow, 2).Message(testNow)
		assert.Equal(t, receiver.HandleMessage(testNow, append(loads.Message(testNow), speeds...)), len(speeds))
		totals, _ := receiver.Totals(testNow)
		assert.DeepEqual(t, totals, map[loadshare.Mark]int{7: 3})
	})
}

// Memory must be bounded in the number of reporters and reports, whatever is received.
func TestMemoryIsBounded(t *testing.T) {
	exchange := NewExchange(daemonAt(1), 0)
	for number := range 3 * maxReports {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
		exchange.store(testNow, from, &report{number: 1, at: testNow, entries: []entry{{target: slowTarget, weight: 9}}})
	}
	assert.Equal(t, len(exchange.reports), maxReports)
	assert.Equal(t, len(exchange.received[slowTarget]), maxReporters)
}

func FuzzHandleMessage(f *testing.F) {
	exchange := NewExchange(daemonAt(1), 0)
	note(exchange, testNow, slowTarget, 3, 2)
	exchange.Tick(testNow)
	f.Add(exchange.Message(testNow))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		receiver := NewExchange(daemonAt(2), 0)
		unread := receiver.HandleMessage(testNow, message)
		assert.Assert(t, unread >= 0 && unread <= len(message))
		assert.Assert(t, len(receiver.Message(testNow)) <= MaxMessageBytes)
		for _, estimate := range receiver.Estimates(testNow) {
			assert.Assert(t, estimate.Speed >= MinSpeed && estimate.Speed <= MaxSpeed)
		}
	})
}
