package node

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// totalsInterval is how often what the zone's daemons told is added up, a part of the
// interval in which they renew it.
const totalsInterval = loadshare.ReportInterval / 4

// shareLoads tells the zone's daemons of the flows that are open here, and the targets'
// signals of those that are open through all of them. If that cannot be told, as daemons
// have many flows each, this daemon's own have to do.
func (n *Followed) shareLoads(now time.Time) {
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
	if totals, areWhole := n.loads.Totals(now); areWhole {
		table.SetOpen(func(token uint32) int { return totals[loadshare.MarkOf(token)] })
	} else {
		table.SetOpen(func(token uint32) int { return own[token] })
	}
	n.plane.setKnowsOpen()
	n.shareSpeeds(now, table)
}

// takeLoads takes in what daemons of the zone told of open flows, and of speeds behind that.
func (n *Followed) takeLoads(now time.Time, messages [][]byte) {
	for _, message := range messages {
		others := message[len(message)-n.loads.Hear(now, message):]
		if n.speeds.Hear(now, others) > 0 {
			n.counters().loadsUnread.Add(1)
		}
	}
}
