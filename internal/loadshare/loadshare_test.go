package loadshare

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_800_000_000, 0)

func address(number byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000)
}

func tokenOf(mark Mark) uint32 { return uint32(mark) << 16 }

// totals returns the totals and fails the test if they are incomplete.
func totals(t *testing.T, exchange *Exchange, now time.Time) map[Mark]int {
	t.Helper()
	sums, areComplete := exchange.Totals(now)
	assert.Assert(t, areComplete)
	return sums
}

func newReportingExchange(number byte, counts map[uint32]int) *Exchange {
	exchange := New(address(number), 0)
	exchange.Tick(testStart, func() map[uint32]int { return counts })
	return exchange
}

func TestTotalsSumReports(t *testing.T) {
	one, other := newReportingExchange(1, map[uint32]int{tokenOf(7): 2, tokenOf(8): 1}), newReportingExchange(2, map[uint32]int{tokenOf(7): 3})
	assert.Equal(t, one.HandleMessage(testStart, other.Message(testStart)), 0)
	assert.DeepEqual(t, totals(t, one, testStart), map[Mark]int{7: 5, 8: 1})
	t.Run("a repeated report changes nothing", func(t *testing.T) {
		one.HandleMessage(testStart, other.Message(testStart))
		assert.DeepEqual(t, totals(t, one, testStart), map[Mark]int{7: 5, 8: 1})
	})
	t.Run("a newer report replaces the old one", func(t *testing.T) {
		later := testStart.Add(ReportInterval)
		other.Tick(later, func() map[uint32]int { return map[uint32]int{tokenOf(9): 1} })
		one.HandleMessage(later, other.Message(later))
		assert.DeepEqual(t, totals(t, one, later), map[Mark]int{7: 2, 8: 1, 9: 1})
	})
	t.Run("a report expires a fixed time after it was made", func(t *testing.T) {
		third := New(address(3), 0)
		third.HandleMessage(testStart.Add(2*time.Second), other.Message(testStart.Add(2*time.Second)))
		assert.Equal(t, len(totals(t, third, testStart.Add(2*time.Second))), 1)
		assert.Equal(t, len(totals(t, third, testStart.Add(ReportInterval+lifetime))), 0)
	})
	t.Run("reports of its own address are ignored", func(t *testing.T) {
		again := New(address(2), 0)
		again.HandleMessage(testStart, one.Message(testStart))
		assert.Equal(t, totals(t, again, testStart)[9], 0)
	})
}

// Messages are bounded in size, and over several of them all known reports are sent.
func TestMessageSizeIsBounded(t *testing.T) {
	hub := newReportingExchange(0, nil)
	for number := range byte(200) {
		counts := map[uint32]int{}
		for mark := range Mark(number % (maxTargets + 1)) {
			counts[tokenOf(mark+1)] = 1000
		}
		hub.HandleMessage(testStart, newReportingExchange(number+1, counts).Message(testStart))
	}
	listener := New(address(250), 0)
	for range 150 {
		message := hub.Message(testStart)
		assert.Assert(t, len(message) > 0 && len(message) <= MaxMessageBytes)
		assert.Equal(t, listener.HandleMessage(testStart, message), 0)
	}
	assert.Equal(t, len(listener.reports), 201)
	assert.Equal(t, len(listener.reports[address(maxTargets+1)].flows), maxTargets)
	assert.Equal(t, listener.reports[address(2)].flows[0].Count, uint8(255))
}

// A daemon with too many targets reports that, and the totals then count as incomplete.
func TestTooManyTargetsMakeTotalsIncomplete(t *testing.T) {
	counts := map[uint32]int{}
	for mark := range Mark(maxTargets + 1) {
		counts[tokenOf(mark)] = 1
	}
	listener := newReportingExchange(1, map[uint32]int{tokenOf(7): 2})
	assert.Equal(t, listener.HandleMessage(testStart, newReportingExchange(2, counts).Message(testStart)), 0)
	_, areComplete := listener.Totals(testStart)
	assert.Assert(t, !areComplete)
	_, areComplete = listener.Totals(testStart.Add(lifetime))
	assert.Assert(t, areComplete, "the report has expired")
}

func TestTruncatedMessageIsDecodedPartially(t *testing.T) {
	sender := newReportingExchange(1, map[uint32]int{tokenOf(7): 2})
	sender.HandleMessage(testStart, newReportingExchange(2, map[uint32]int{tokenOf(8): 1}).Message(testStart))
	message := sender.Message(testStart)
	for length := range len(message) {
		exchange := New(address(9), 0)
		unread := exchange.HandleMessage(testStart, message[:length])
		assert.Assert(t, unread > 0 || length%(reportHeaderBytes+targetBytes) == 0)
		assert.Equal(t, len(exchange.reports), length/(reportHeaderBytes+targetBytes))
	}
}

func FuzzHandleMessage(f *testing.F) {
	f.Add(newReportingExchange(1, map[uint32]int{tokenOf(7): 2}).Message(testStart))
	f.Fuzz(func(t *testing.T, message []byte) {
		exchange := New(address(9), 0)
		unread := exchange.HandleMessage(testStart, message)
		assert.Assert(t, unread >= 0 && unread <= len(message))
		exchange.Totals(testStart)
		assert.Assert(t, len(exchange.Message(testStart)) <= MaxMessageBytes)
	})
}

// With two messages per 300 ms from each daemon to random ones, most of the zone's flows are
// known to every daemon.
func TestReportsReachWholeZone(t *testing.T) {
	for _, daemons := range []int{3, 20, 70} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			var zone []*Exchange
			for number := range daemons {
				zone = append(zone, New(address(byte(number)), 0))
			}
			now := testStart
			for range 40 {
				now = now.Add(300 * time.Millisecond)
				for number, daemon := range zone {
					daemon.Tick(now, func() map[uint32]int {
						return map[uint32]int{tokenOf(Mark(number)): 1, tokenOf(Mark(number + 1)): 1, tokenOf(Mark(number + 2)): 1, tokenOf(Mark(number + 3)): 1}
					})
					for range 2 {
						zone[random.IntN(daemons)].HandleMessage(now, daemon.Message(now))
					}
				}
			}
			for number, daemon := range zone {
				known := 0
				for _, count := range totals(t, daemon, now) {
					known += count
				}
				assert.Assert(t, known >= 4*daemons*8/10, "daemon %d knows %d of %d flows", number, known, 4*daemons)
			}
		})
	}
}
