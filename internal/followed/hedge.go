package followed

import (
	"slices"
	"time"
)

// hedgeTransferFactor is the minimum delay before a hedged request in transfer times of a long
// list. The store's link is shared, and further requests slow it down.
const hedgeTransferFactor = 3

// hedgeLatencyFactor is the same in multiples of the store's last latency.
const hedgeLatencyFactor = 2

// IsPending reports whether the answer to a call is still needed.
func (f *Follower) IsPending(number uint64) bool { return f.awaitedCall(number) != nil }

func (f *Follower) awaitedCall(number uint64) *Call {
	if f.inFlight != nil && f.inFlight.Number == number {
		return f.inFlight
	}
	if f.targetsWatch.call != nil && f.targetsWatch.call.Number == number {
		return f.targetsWatch.call
	}
	if f.listWatch.call != nil && f.listWatch.call.Number == number {
		return f.listWatch.call
	}
	for _, call := range f.hedged {
		if call.Number == number {
			return call
		}
	}
	for _, r := range f.ranges {
		if r.call != nil && r.call.Number == number {
			return r.call
		}
	}
	return nil
}

// shouldHedge reports whether the list in flight has taken so long that it is requested again.
// Only a daemon without a configuration hedges. Later pages are requested by few daemons, so their
// delay does not depend on the size of the group; a store that answers late is not asked for them
// again, which would delay it further.
func (f *Follower) shouldHedge(now time.Time) bool {
	isStarting := f.phase == phaseListing && !f.isComplete()
	if !f.isFirstPage() && f.storeLatency >= minCongestedLatency {
		return false
	}
	after := max(f.config.HedgeAfter, hedgeTransferFactor*f.config.transferTime(f.longListBytes), hedgeLatencyFactor*f.storeLatency)
	if f.isFirstPage() {
		after = max(after, f.scaleByMembers(f.config.HedgePerMember))
	}
	if f.storeLatency > 0 {
		after <<= len(f.hedged) // a store that answered before is slow rather than unresponsive
	}
	return isStarting && len(f.hedged)+1 < f.config.MaxHedgedLists && now.Sub(f.sentAt) >= after
}

// dropHedgedCall drops one of several equivalent calls. It reports false if there is only one.
func (f *Follower) dropHedgedCall(call *Call) bool {
	if len(f.hedged) == 0 {
		return false
	}
	if f.inFlight == call {
		f.inFlight = f.hedged[len(f.hedged)-1]
	}
	f.hedged = slices.DeleteFunc(f.hedged, func(other *Call) bool { return other == call || other == f.inFlight })
	return true
}

// abandonCalls abandons all calls in flight.
func (f *Follower) abandonCalls() {
	f.inFlight = nil
	f.hedged = nil
	f.targetsWatch.call = nil
	f.listWatch.call = nil
	f.abandonRangeCalls()
}
