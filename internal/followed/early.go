package followed

import "time"

// earlyList reads targets alone while nothing is known here and the whole content takes
// long on this daemon's link. An open flow needs no route to be followed, only its target:
// with 1,440 routes the whole content has some 300 KB, of which targets are a seventh.
type earlyList struct {
	// isDue says that the whole content was found to be long.
	isDue     bool
	call      *Call
	startedAt time.Time
	nextAt    time.Time
	// tries counts the calls that were made.
	tries int
	// lastKey is where the next page starts.
	lastKey string
}

// mostEarlyTries bounds the calls for one early list, its pages among them.
const mostEarlyTries = 4

// listEarly starts the list of targets alone, if that is due.
func (f *Follower) listEarly(now time.Time, output *Output) {
	early := &f.early
	if early.call != nil && now.Sub(early.startedAt) > early.call.Bound()+f.config.Slack {
		f.endEarly(now)
	}
	early.isDue = early.isDue || f.isOwnListLong(now)
	isCold := f.phase == phaseListing && f.view.Configuration() == nil
	isFree := early.call == nil && output.Call == nil && !now.Before(early.nextAt)
	if !early.isDue || !isCold || !isFree || early.tries >= mostEarlyTries {
		return
	}
	early.tries++
	early.call = f.newCall()
	early.call.Kind = CallList
	early.call.TargetsOnly = true
	early.call.AllowStale = !f.exact
	early.call.AfterKey = early.lastKey
	early.call.MostBytes = f.config.EarlyBytes
	early.call.Timeout = f.config.ListTimeout
	f.bound(early.call)
	early.startedAt = now
	output.Call = early.call
}

// isOwnListLong reports whether the whole content, read whatever its length as a seed does,
// has been awaited for longer than a short one takes on this daemon's link.
func (f *Follower) isOwnListLong(now time.Time) bool {
	isListing := f.underWay != nil && f.underWay.Kind == CallList && f.underWay.MostBytes == 0
	isFirst := f.early.tries == 0 && f.failures == 0 && f.config.EarlyBytes > 0
	return isListing && isFirst && f.config.LinkBytes > 0 && now.Sub(f.startedAt) >= shortListTime
}

// takeEarly takes in a page of targets. It says nothing of what is not listed, and not up
// to which revision all is known: that is for the whole content to say.
func (f *Follower) takeEarly(now time.Time, answer *Answer, output *Output) {
	f.endEarly(now)
	switch answer.Outcome {
	case OutcomeAnswered:
		f.early.nextAt = now
		f.early.isDue = answer.More && len(answer.Entries) > 0
		if f.early.isDue {
			f.early.lastKey = answer.Entries[len(answer.Entries)-1].Key
		}
		f.report(f.view.Merge(now, answer.Entries), output)
	case OutcomeTooLong, OutcomeRefused:
		f.early.isDue = false
	}
}

// endEarly awaits the call no more. After one that failed the next waits a little.
func (f *Follower) endEarly(now time.Time) {
	f.early.call = nil
	f.early.nextAt = now.Add(f.jitter(f.config.BackoffFirst))
}

// isEarly reports whether a call is the early list's and its answer still of use.
func (f *Follower) isEarly(call *Call) bool {
	return call != nil && call == f.early.call
}
