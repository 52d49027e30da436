package followed

import "time"

const (
	// congestionSpreadFactor is the multiple of the store's last latency over which starting
	// daemons spread their next requests.
	congestionSpreadFactor = 8
	// earlyReaderFraction is the fraction of the spread within which a daemon reads the rest of the
	// list without further delays. The suppression timer draws so few such delays that these daemons
	// do not congest the store. Without them no daemon would complete a list of many pages while
	// the store is unreachable for the seeds.
	earlyReaderFraction = 16
	// minCongestedLatency is the latency from which the store counts as congested.
	minCongestedLatency = 50 * time.Millisecond
)

// recordLatency records how long the store took to begin an answer. A timeout counts only if the
// store has answered before; otherwise it may be unreachable rather than slow.
func (f *Follower) recordLatency(call *Call, answer *Answer) {
	switch {
	case answer.TimeToFirstByte > 0 && answer.Outcome != OutcomeFailed:
		f.storeLatency = answer.TimeToFirstByte
	case answer.Outcome == OutcomeFailed && f.storeLatency > 0:
		f.storeLatency = max(f.storeLatency, call.Timeout)
	}
}

// congestionDelay draws the time for which a daemon without a configuration sends no request to
// a congested store. It prevents a retry storm when many daemons start at once; the few that
// read early supply the others: a daemon that draws a short delay becomes one of them.
func (f *Follower) congestionDelay() time.Duration {
	isPaced := f.incremental != nil && f.memberCount <= 1
	if !f.avoidsCongestion || f.readsEarly || f.isComplete() || isPaced || f.storeLatency < minCongestedLatency {
		return 0
	}
	spread := f.config.PagedSpread
	if f.incremental != nil {
		spread.GroupSize = float64(f.memberCount) // the members are known by now
	}
	spread.MaxDelay = min(spread.MaxDelay, congestionSpreadFactor*f.storeLatency)
	delay := spread.delay(f.random.Float64())
	f.readsEarly = delay < spread.MaxDelay/earlyReaderFraction
	return delay
}
