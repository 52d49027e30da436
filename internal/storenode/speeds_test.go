package storenode

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/loadshare"
	"github.com/passtray/passtray/internal/targetspeed"
)

// The message to the zone stays within the size limit and decodes completely, with speeds behind open
// flows.
func TestZoneMessageCarriesOpenFlowsAndSpeeds(t *testing.T) {
	now := time.Now()
	daemonAt := func(number byte) *Node {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, number}), 7000)
		return &Node{
			loads: loadshare.New(address, 0), speeds: targetspeed.NewExchange(address, 0),
			plane: &tokenPlane{counters: &tokenCounters{}},
		}
	}
	const slow = loadshare.Mark(3)
	first, last := daemonAt(100), daemonAt(101)
	for number := range byte(20) {
		sender := daemonAt(number)
		for target := range loadshare.Mark(16) {
			for range 10 {
				sender.speeds.Record(now, target, 1)
			}
		}
		for range 90 {
			sender.speeds.Record(now, slow, 4)
		}
		sender.speeds.Tick(now)
		sender.loads.Tick(now, func() map[uint32]int { return map[uint32]int{uint32(slow) << 16: 2} })
		message := sender.zoneMessage(now)
		assert.Assert(t, len(message) <= loadshare.MaxMessageBytes)
		first.handleZoneMessages(now, [][]byte{message})
	}
	for range 20 {
		message := first.zoneMessage(now)
		assert.Assert(t, len(message) <= loadshare.MaxMessageBytes)
		last.handleZoneMessages(now, [][]byte{message})
	}
	totals, isComplete := last.loads.Totals(now)
	assert.Assert(t, isComplete)
	assert.Equal(t, totals[slow], 40)
	estimates := last.speeds.Estimates(now)
	assert.Assert(t, estimates[slow].Speed < 0.5 && estimates[slow+1].Speed == 1)
	assert.Equal(t, last.counters().loadsUndecoded.Load(), uint64(0))
	last.handleZoneMessages(now, [][]byte{{1, 2, 3}})
	assert.Equal(t, last.counters().loadsUndecoded.Load(), uint64(1))
}
