package followed

import "time"

// backoff returns the pause after a failed call. The first failure of a daemon that the store
// answered recently is retried almost at once, since usually only its connection broke and
// other daemons depend on its reads.
func (f *Follower) backoff(now time.Time) time.Duration {
	minPause, maxPause := f.config.MinBackoff, f.config.MaxBackoff
	wasAnswered := now.Sub(f.confirmedAt) <= 2*f.config.Wait
	if f.failures == 1 && wasAnswered {
		return minPause
	}
	if f.isComplete() {
		groupPause := time.Duration(f.memberCount) * f.config.BackoffPerMember
		minPause, maxPause = max(minPause, groupPause), max(maxPause, groupPause)
	}
	if f.isFreshFromPeers {
		maxPause = max(maxPause, f.config.MaxBackoffWithPeers)
	}
	doublings := min(f.failures-1, 10)
	return min(minPause<<doublings, maxPause)
}

// gapBackoff is the pause after consecutive watches that could not continue from the local
// revision. It bounds the request rate to a store whose lists and watches contradict each
// other.
func (f *Follower) gapBackoff() time.Duration {
	doublings := min(f.consecutiveGaps-1, 10)
	return min(f.config.MinBackoff<<doublings, f.config.MaxBackoff)
}

// scaleByMembers multiplies delay by the number of daemons that follow the store, up to a bound.
func (f *Follower) scaleByMembers(delay time.Duration) time.Duration {
	return min(time.Duration(f.memberCount)*delay, f.config.Wait*3/2)
}

// jitter draws a duration between half of span and span, so that daemons that failed together
// do not retry together.
func (f *Follower) jitter(span time.Duration) time.Duration {
	return span/2 + time.Duration(f.random.Int64N(int64(span/2)+1))
}

// growTimeout doubles a timeout with each failure, up to a bound, so that an overloaded store is
// not sent the same request again and again.
func (f *Follower) growTimeout(timeout time.Duration) time.Duration {
	return timeout << min(f.failures, maxTimeoutDoublings)
}

const maxTimeoutDoublings = 2
