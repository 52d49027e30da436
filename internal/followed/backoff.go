package followed

import "time"

// backoff returns the pause after a failed call. The first failure of a daemon that the store
// answered recently is retried almost at once, since usually only its connection broke and
// other daemons depend on its reads.
func (f *Follower) backoff(now time.Time) time.Duration {
	first, most := f.config.BackoffFirst, f.config.BackoffMost
	wasAnswered := now.Sub(f.confirmedAt) <= 2*f.config.Wait
	if f.failures == 1 && wasAnswered {
		return first
	}
	if f.view.Configuration() != nil {
		together := time.Duration(f.crowd) * f.config.BackoffPerMember
		first, most = max(first, together), max(most, together)
	}
	if f.isSupplied {
		most = max(most, f.config.BackoffSupplied)
	}
	doublings := min(f.failures-1, 10)
	return min(first<<doublings, most)
}

// gapPause is the pause after consecutive watches that could not continue from the local
// revision. It bounds the request rate to a store whose lists and watches contradict each
// other.
func (f *Follower) gapPause() time.Duration {
	doublings := min(f.gaps-1, 10)
	return min(f.config.BackoffFirst<<doublings, f.config.BackoffMost)
}

// perMember multiplies delay by the number of daemons that follow the store, up to a bound.
func (f *Follower) perMember(span time.Duration) time.Duration {
	return min(time.Duration(f.crowd)*span, f.config.Wait*3/2)
}

// jitter draws a duration between half of span and span, so that daemons that failed together
// do not retry together.
func (f *Follower) jitter(span time.Duration) time.Duration {
	return span/2 + time.Duration(f.random.Int64N(int64(span/2)+1))
}

// patient doubles a timeout with each failure, up to a bound, so that an overloaded store is
// not sent the same request again and again.
func (f *Follower) patient(timeout time.Duration) time.Duration {
	return timeout << min(f.failures, maximumDoublings)
}

const maximumDoublings = 2
