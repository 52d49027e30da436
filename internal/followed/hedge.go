package followed

import (
	"slices"
	"time"
)

// hedgeTransfers is the minimum delay before a hedged request in transfer times of a long list.
// The store's link is shared, and further requests slow it down.
const hedgeTransfers = 3

// hedgeDelays is the same in multiples of the store's last latency.
const hedgeDelays = 2

// IsAwaited reports whether the answer to a call is still needed.
func (f *Follower) IsAwaited(number uint64) bool { return f.awaited(number) != nil }

func (f *Follower) awaited(number uint64) *Call {
	if f.underWay != nil && f.underWay.Number == number {
		return f.underWay
	}
	if f.side.call != nil && f.side.call.Number == number {
		return f.side.call
	}
	for _, call := range f.hedged {
		if call.Number == number {
			return call
		}
	}
	return nil
}

// isToHedge reports whether the list in flight has taken so long that it is requested again.
// Only a daemon without a configuration hedges.
func (f *Follower) isToHedge(now time.Time) bool {
	isCold := f.phase == phaseListing && f.isFirstPage() && f.view.Configuration() == nil
	after := max(f.config.HedgeAfter, f.perMember(f.config.HedgePerMember), hedgeTransfers*f.config.transferTime(f.listBytes),
		hedgeDelays*f.storeDelay)
	if f.storeDelay > 0 {
		after <<= len(f.hedged) // a store that answered before is slow rather than unresponsive
	}
	return isCold && len(f.hedged)+1 < f.config.HedgeMost && now.Sub(f.startedAt) >= after
}

// dropHedged drops one of several equivalent calls. It reports false if there is only one.
func (f *Follower) dropHedged(call *Call) bool {
	if len(f.hedged) == 0 {
		return false
	}
	if f.underWay == call {
		f.underWay = f.hedged[len(f.hedged)-1]
	}
	f.hedged = slices.DeleteFunc(f.hedged, func(held *Call) bool { return held == call || held == f.underWay })
	return true
}

// forgetCalls abandons all calls in flight.
func (f *Follower) forgetCalls() {
	f.underWay = nil
	f.hedged = nil
	f.side.call = nil
}
