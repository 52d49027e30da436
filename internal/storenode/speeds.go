package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
	"github.com/passtray/passtray/internal/steering/token"
)

const (
	// estimatesInterval is the minimum interval between updates of the speed estimates. Observations
	// decay over many seconds.
	estimatesInterval = time.Second
	// estimatesPerTarget extends that interval per target with an estimate. This bounds the processor
	// time spent on merging reports, which grows with the zone, to some 0.4 % of a core: the reports
	// of 61 daemons on 650 targets take 5.4 ms. The speeds of 2,000 targets are at most 5 s old.
	estimatesPerTarget = 2 * time.Millisecond
)

// zoneMessage returns the message to the daemons in the zone: open flows in the space that the speeds
// leave, followed by the speeds.
func (n *Node) zoneMessage(now time.Time) []byte {
	speeds := n.speeds.Message(now)
	return append(n.loads.MessageWithin(now, loadshare.MaxMessageBytes-len(speeds)), speeds...)
}

// exchangeSpeeds reports the response times observed here to the zone, and sets the speeds of targets
// from the observations of all daemons in it.
func (n *Node) exchangeSpeeds(now time.Time, table *token.Table) {
	for _, answered := range n.plane.answered() {
		n.speeds.Record(now, loadshare.MarkOf(answered.Token), answered.Ratio)
		n.counters().speedResponses.Add(1)
	}
	n.speeds.Tick(now)
	if now.Before(n.nextEstimatesAt) {
		return
	}
	n.estimates = n.speeds.Estimates(now)
	n.nextEstimatesAt = now.Add(estimatesInterval + time.Duration(len(n.estimates))*estimatesPerTarget)
	speeds := make(map[loadshare.Mark]float64, len(n.estimates))
	for mark, estimate := range n.estimates {
		speeds[mark] = estimate.Speed
	}
	table.SetSpeeds(now, n.appliedSpeeds, speeds)
	n.appliedSpeeds = speeds
}

// speedOf returns the speed of a target as target selection uses it, and the number of observations
// behind it; 0 and 0 if unknown.
func (n *Node) speedOf(now time.Time, identifier uint64) (speed, observations float64) {
	estimate, isKnown := n.estimates[loadshare.MarkOf(token.Of(identifier))]
	table := n.plane.table.Load()
	if !isKnown || table == nil {
		return 0, 0
	}
	speed, _ = table.SpeedOf(now, identifier)
	return speed, estimate.Observations
}
