package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// totalsInterval is how often the reports of the daemons in the zone are summed.
const totalsInterval = loadshare.ReportInterval / 4

// shareLoads reports the open flows of this daemon to the zone and updates the load of each target
// with the sum over all daemons. If the reports are incomplete, because daemons have too many flows to
// report, it uses the flows of this daemon alone.
func (n *Node) shareLoads(now time.Time) {
	if now.Before(n.nextTotals) {
		return
	}
	n.nextTotals = now.Add(totalsInterval)
	own := n.plane.openFlows(now)
	n.loads.Tick(now, func() map[uint32]int { return own })
	table := n.plane.table.Load()
	if table == nil {
		return
	}
	totals, areWhole := n.loads.Totals(now)
	if areWhole {
		own = nil
	}
	n.toldOpen.own = putChanges(n.toldOpen.own, own, table.SetOpen)
	n.toldOpen.totals = putChanges(n.toldOpen.totals, totals, table.SetOpenAt)
	n.plane.setKnowsOpen()
	n.shareSpeeds(now, table)
}

// toldOpen are the open-flow counts last set on the targets: those of this daemon by token, those of
// the zone by mark.
type toldOpen struct {
	own    map[uint32]int
	totals map[loadshare.Mark]int
}

// putChanges calls put for each count that differs from before, with 0 for keys that are no longer
// present, and returns counts.
func putChanges[K comparable](before, counts map[K]int, put func(of K, count int)) map[K]int {
	for of := range before {
		if _, isCounted := counts[of]; !isCounted {
			put(of, 0)
		}
	}
	for of, count := range counts {
		if before[of] != count {
			put(of, count)
		}
	}
	return counts
}

// takeLoads handles messages from daemons in the zone: open flows, followed by speeds.
func (n *Node) takeLoads(now time.Time, messages [][]byte) {
	for _, message := range messages {
		others := message[len(message)-n.loads.Hear(now, message):]
		if n.speeds.Hear(now, others) > 0 {
			n.counters().loadsUnread.Add(1)
		}
	}
}
