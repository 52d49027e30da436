package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// totalsInterval is how often the reports of the daemons in the zone are summed.
const totalsInterval = loadshare.ReportInterval / 4

// exchangeLoads reports the open flows of this daemon to the zone and updates the load of each target
// with the sum over all daemons. If the reports are incomplete, because daemons have too many flows to
// report, it uses the flows of this daemon alone.
func (n *Node) exchangeLoads(now time.Time) {
	if now.Before(n.nextTotalsAt) {
		return
	}
	n.nextTotalsAt = now.Add(totalsInterval)
	local := n.plane.openFlows(now)
	n.loads.Tick(now, func() map[uint32]int { return local })
	table := n.plane.table.Load()
	if table == nil {
		return
	}
	totals, isComplete := n.loads.Totals(now)
	if isComplete {
		local = nil
	}
	n.appliedOpen.local = applyChanges(n.appliedOpen.local, local, table.SetOpenFlows)
	n.appliedOpen.totals = applyChanges(n.appliedOpen.totals, totals, table.SetOpenByMark)
	n.plane.setOpenFlowsKnown()
	n.exchangeSpeeds(now, table)
}

// appliedOpen are the open-flow counts last set on the targets: those of this daemon by token,
// those of the zone by mark.
type appliedOpen struct {
	local  map[uint32]int
	totals map[loadshare.Mark]int
}

// applyChanges calls set for each count that differs from before, with 0 for keys that are no longer
// present, and returns counts.
func applyChanges[K comparable](before, counts map[K]int, set func(key K, count int)) map[K]int {
	for key := range before {
		if _, isCounted := counts[key]; !isCounted {
			set(key, 0)
		}
	}
	for key, count := range counts {
		if before[key] != count {
			set(key, count)
		}
	}
	return counts
}

// handleZoneMessages handles messages from daemons in the zone: open flows, followed by speeds.
func (n *Node) handleZoneMessages(now time.Time, messages [][]byte) {
	for _, message := range messages {
		rest := message[len(message)-n.loads.HandleMessage(now, message):]
		if n.speeds.HandleMessage(now, rest) > 0 {
			n.counters().loadsUndecoded.Add(1)
		}
	}
}
