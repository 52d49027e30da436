package followed

import "time"

const (
	// congestionSpread is the multiple of the store's last latency over which starting daemons
	// spread their next requests.
	congestionSpread = 8
	// congestedFrom is the latency from which the store counts as congested.
	congestedFrom = 50 * time.Millisecond
)

// noteDelay records how long the store took to begin an answer. A timeout counts only if the
// store has answered before; otherwise it may be unreachable rather than slow.
func (f *Follower) noteDelay(call *Call, answer *Answer) {
	switch {
	case answer.BeganAfter > 0 && answer.Outcome != OutcomeFailed:
		f.storeDelay = answer.BeganAfter
	case answer.Outcome == OutcomeFailed && f.storeDelay > 0:
		f.storeDelay = max(f.storeDelay, call.Timeout)
	}
}

// congestionDelay draws the time for which a daemon without a configuration sends no request to
// a congested store. It prevents a retry storm when many daemons start at once; the few that
// read early supply the others.
func (f *Follower) congestionDelay() time.Duration {
	if !f.yields || f.view.Configuration() != nil || f.storeDelay < congestedFrom {
		return 0
	}
	spread := f.config.PagedSpread
	spread.Most = min(spread.Most, congestionSpread*f.storeDelay)
	return spread.delay(f.random.Float64())
}
