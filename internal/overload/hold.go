package overload

import (
	"math"
	"time"
)

const (
	// mostHold is how long a new flow may wait at a daemon for room: shorter than the pause after
	// which a caller sends a packet again, which is 200 ms.
	mostHold = 100 * time.Millisecond
	// holdShare is the part of a route's objective that may pass so. What is refused in the
	// end leaves its caller time for another try.
	holdShare = 1.0 / 6
)

const (
	// mostDataHold is how long a request on an open flow may wait. Its caller sends it again
	// meanwhile, once. Longer than a new flow, as it can't be refused: while it waits its
	// caller asks for no more on the flow, which is what slows callers down.
	mostDataHold = 190 * time.Millisecond
	// dataHoldShare is the part of a route's objective that may pass so.
	dataHoldShare = 1.0 / 2
)

// DataHoldFor returns how long a request on an open flow of a route may wait, by the time
// that the route's answers should take; 0 if that is not known.
func DataHoldFor(objective time.Duration) time.Duration {
	if objective <= 0 {
		return mostDataHold
	}
	return min(mostDataHold, time.Duration(float64(objective)*dataHoldShare))
}

// HoldFor returns how long a new flow of a route may wait, by the time that its answers should
// take; 0 if that is not known.
func HoldFor(objective time.Duration) time.Duration {
	if objective <= 0 {
		return mostHold
	}
	return min(mostHold, time.Duration(float64(objective)*holdShare))
}

// places returns how many new flows of a rank may wait at once: those for which room is
// expected while they may, and any number while there is no bound.
func (c *Controller) places(now time.Time, rank Rank) int {
	bound, isBound := c.Bound(now)
	if !isBound {
		return math.MaxInt // it may go on at once
	}
	if rank == Ordinary {
		bound = max(leastBound, bound-c.InProgress(now, Preferred))
	}
	return int(math.Ceil(bound))
}
