package followed

import "time"

// targetsWatchState is a second watch, for targets only, that runs while the follower's own watch
// receives a long answer, so that the state of a draining target does not wait behind
// documents. Its changes are merged, but only the follower's own calls advance the revision.
type targetsWatchState struct {
	call       *Call
	sentAt     time.Time
	nextCallAt time.Time
	// revision is the revision up to which changes of targets are known.
	revision uint64
	// wasLong reports that the previous answer was long: changes accumulated meanwhile, so the
	// next answer may be as long.
	wasLong bool
}

const (
	// targetsWatchRetry is the pause after a failed targets watch.
	targetsWatchRetry = time.Second
	// consecutiveLongTimeout replaces the timeout after which an answer counts as long if the
	// previous one was.
	consecutiveLongTimeout = 200 * time.Millisecond
)

// isAnswerLong reports whether the call in flight has outlasted its timeout for the first byte, so
// that its answer is still being transferred. After a long answer, consecutiveLongTimeout applies
// instead.
func (f *Follower) isAnswerLong(now time.Time) bool {
	if f.inFlight == nil {
		return false
	}
	timeout := f.inFlight.Timeout + f.config.Slack
	if f.targetsWatch.wasLong {
		timeout = consecutiveLongTimeout
	}
	return now.Sub(f.sentAt) > timeout
}

// recordAnswerLength records whether the answer to the follower's own call was long.
func (f *Follower) recordAnswerLength(now time.Time, call *Call) {
	f.targetsWatch.wasLong = now.Sub(f.sentAt) > call.Timeout
}

// startTargetsWatch starts a watch for targets only while a long answer is being transferred.
func (f *Follower) startTargetsWatch(now time.Time, output *Output) {
	if f.targetsWatch.call != nil && now.Sub(f.targetsWatch.sentAt) > f.targetsWatch.call.MaxDuration()+f.config.Slack {
		f.targetsWatch.call = nil
	}
	isDue := f.targetsWatch.call == nil && !now.Before(f.targetsWatch.nextCallAt)
	if f.paused || output.Call != nil || !isDue || f.view.Configuration() == nil || !f.isAnswerLong(now) {
		return
	}
	f.targetsWatch.call = f.newCall()
	f.targetsWatch.call.Kind = CallWatch
	f.targetsWatch.call.TargetsOnly = true
	f.targetsWatch.call.AfterRevision = max(f.view.Revision(), f.targetsWatch.revision)
	f.targetsWatch.call.Wait = f.config.Wait
	f.targetsWatch.call.Timeout = f.config.Wait + f.config.Slack
	f.setTimeouts(f.targetsWatch.call)
	f.targetsWatch.sentAt = now
	output.Call = f.targetsWatch.call
}

// handleTargetsWatch handles the answer to a targets watch.
func (f *Follower) handleTargetsWatch(now time.Time, answer *Answer, output *Output) {
	f.targetsWatch.call = nil
	if answer.Outcome != OutcomeAnswered || f.isFromEarlierEpoch(answer) {
		f.targetsWatch.nextCallAt = now.Add(targetsWatchRetry)
		return
	}
	f.targetsWatch.nextCallAt = now
	f.targetsWatch.revision = max(f.targetsWatch.revision, answer.Revision)
	f.emitChange(f.view.Merge(now, answer.Entries), output)
}
