package overload

import (
	"math"
	"time"
)

const (
	// mostHold limits how long a new flow may be queued. It is below the 200 ms after which callers
	// retransmit.
	mostHold = 100 * time.Millisecond
	// holdShare is the fraction of a route's objective that a new flow may be queued, so that a
	// rejected caller has time for a retry.
	holdShare = 1.0 / 6
)

const (
	// mostDataHold limits how long a request on an open flow may be queued; callers retransmit at
	// most once in that time. It is longer than for new flows, since such requests cannot be
	// rejected and the wait acts as backpressure: the caller sends no further request on the flow.
	mostDataHold = 190 * time.Millisecond
	// dataHoldShare is the fraction of a route's objective that such a request may be queued.
	dataHoldShare = 1.0 / 2
)

// DataHoldFor returns how long a request on an open flow may be queued, given the route's latency
// objective (0 if none).
func DataHoldFor(objective time.Duration) time.Duration {
	if objective <= 0 {
		return mostDataHold
	}
	return min(mostDataHold, time.Duration(float64(objective)*dataHoldShare))
}

// HoldFor returns how long a new flow may be queued, given the route's latency objective (0 if
// none).
func HoldFor(objective time.Duration) time.Duration {
	if objective <= 0 {
		return mostHold
	}
	return min(mostHold, time.Duration(float64(objective)*holdShare))
}

// places returns how many new flows of a rank may be queued at once: as many as are expected to be
// admitted in time, without limit while there is no concurrency limit.
func (c *Controller) places(now time.Time, rank Rank) int {
	bound, isBound := c.Bound(now)
	if !isBound {
		return math.MaxInt // admitted immediately
	}
	if rank == Ordinary {
		bound = max(leastBound, bound-c.InProgress(now, Preferred))
	}
	return int(math.Ceil(bound))
}
