package overload

import (
	"math"
	"time"
)

const (
	// flowWaitLimit limits how long a new flow may be queued. It is below the 200 ms after which
	// callers retransmit.
	flowWaitLimit = 100 * time.Millisecond
	// flowWaitShare is the fraction of a route's objective that a new flow may be queued, so that a
	// rejected caller has time for a retry.
	flowWaitShare = 1.0 / 6
)

const (
	// dataWaitLimit limits how long a request on an open flow may be queued; callers retransmit at
	// most once in that time. It is longer than for new flows, since such requests cannot be
	// rejected and the wait acts as backpressure: the caller sends no further request on the flow.
	dataWaitLimit = 190 * time.Millisecond
	// dataWaitShare is the fraction of a route's objective that such a request may be queued.
	dataWaitShare = 1.0 / 2
)

// MaxDataWait returns how long a request on an open flow may be queued, given the route's latency
// objective (0 if none).
func MaxDataWait(objective time.Duration) time.Duration {
	if objective <= 0 {
		return dataWaitLimit
	}
	return min(dataWaitLimit, time.Duration(float64(objective)*dataWaitShare))
}

// MaxFlowWait returns how long a new flow may be queued, given the route's latency objective (0 if
// none).
func MaxFlowWait(objective time.Duration) time.Duration {
	if objective <= 0 {
		return flowWaitLimit
	}
	return min(flowWaitLimit, time.Duration(float64(objective)*flowWaitShare))
}

// maxWaitingFlows returns how many new flows of a rank may be queued at once: as many as are
// expected to be admitted in time, without limit while there is no concurrency limit.
func (c *Controller) maxWaitingFlows(now time.Time, rank Rank) int {
	limit, isLimited := c.Limit(now)
	if !isLimited {
		return math.MaxInt // admitted immediately
	}
	if rank == Ordinary {
		limit = max(minLimit, limit-c.InProgress(now, Preferred))
	}
	return int(math.Ceil(limit))
}
