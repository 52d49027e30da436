package followed

import "time"

// sideWatch is a second watch, for targets only, that runs while the follower's own watch
// receives a long answer, so that the state of a draining target does not wait behind
// documents. Its changes are merged, but only the follower's own calls advance the revision.
type sideWatch struct {
	call      *Call
	startedAt time.Time
	nextAt    time.Time
	// revision is the revision up to which changes of targets are known.
	revision uint64
	// wasLong reports that the previous answer was long: changes accumulated meanwhile, so the
	// next answer may be as long.
	wasLong bool
}

const (
	// sideRetry is the pause after a failed side watch.
	sideRetry = time.Second
	// sideAfterLong replaces the timeout after which an answer counts as long if the previous
	// one was.
	sideAfterLong = 200 * time.Millisecond
)

// isAnswerLong reports whether the call in flight has passed the time to first byte and is
// still being transferred, or probably will.
func (f *Follower) isAnswerLong(now time.Time) bool {
	if f.underWay == nil {
		return false
	}
	patience := f.underWay.Timeout + f.config.Slack
	if f.side.wasLong {
		patience = sideAfterLong
	}
	return now.Sub(f.startedAt) > patience
}

// noteLength records whether the answer to the follower's own call was long.
func (f *Follower) noteLength(now time.Time, call *Call) {
	f.side.wasLong = now.Sub(f.startedAt) > call.Timeout
}

// watchAside starts a watch for targets only while a long answer is being transferred.
func (f *Follower) watchAside(now time.Time, output *Output) {
	if f.side.call != nil && now.Sub(f.side.startedAt) > f.side.call.Bound()+f.config.Slack {
		f.side.call = nil
	}
	isDue := f.side.call == nil && !now.Before(f.side.nextAt)
	if f.paused || output.Call != nil || !isDue || f.view.Configuration() == nil || !f.isAnswerLong(now) {
		return
	}
	f.side.call = f.newCall()
	f.side.call.Kind = CallWatch
	f.side.call.TargetsOnly = true
	f.side.call.AfterRevision = max(f.view.Revision(), f.side.revision)
	f.side.call.Wait = f.config.Wait
	f.side.call.Timeout = f.config.Wait + f.config.Slack
	f.bound(f.side.call)
	f.side.startedAt = now
	output.Call = f.side.call
}

// takeAside handles the answer to a side watch.
func (f *Follower) takeAside(now time.Time, answer *Answer, output *Output) {
	f.side.call = nil
	if answer.Outcome != OutcomeAnswered || f.isOfEarlierEpoch(answer) {
		f.side.nextAt = now.Add(sideRetry)
		return
	}
	f.side.nextAt = now
	f.side.revision = max(f.side.revision, answer.Revision)
	f.report(f.view.Merge(now, answer.Entries), output)
}
