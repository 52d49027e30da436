package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// listWatchInterval is the minimum interval between the starts of two watches during an
// incremental list, and how long each waits for changes. It is longer than between those of a reader, since every daemon of a fleet may
// be listing, and still leaves most of the convergence time to the store.
const listWatchInterval = time.Second

// listWatchState is a watch that runs during an incremental list. The list may last longer than
// the store keeps its history, and a change to what is known already, such as a target that begins
// to drain, must not wait for its end.
type listWatchState struct {
	call       *Call
	sentAt     time.Time
	nextCallAt time.Time
	// revision is the revision up to which all changes since the beginning of the list are known.
	revision uint64
}

// startListWatch starts a watch from the beginning of an incremental list, or from the last answer.
func (f *Follower) startListWatch(now time.Time, output *Output) {
	w := &f.listWatch
	if w.call != nil && now.Sub(w.sentAt) > w.call.MaxDuration()+f.config.Slack {
		w.call = nil
	}
	isListing := f.incremental != nil && f.part == partTargets
	if f.paused || output.Call != nil || !isListing || w.call != nil || now.Before(w.nextCallAt) {
		return
	}
	w.call = f.newCall()
	w.call.Kind = CallWatch
	w.call.AfterRevision = w.revision
	w.call.Wait = listWatchInterval
	w.call.Timeout = listWatchInterval + max(f.config.Slack, f.latencyTimeout())
	f.setTimeouts(w.call)
	w.sentAt = now
	output.Call = w.call
}

// handleListWatch handles the answer to a watch during an incremental list.
func (f *Follower) handleListWatch(now time.Time, answer *Answer, output *Output) {
	w := &f.listWatch
	call := w.call
	w.call = nil
	w.nextCallAt = maxTime(now, w.sentAt.Add(listWatchInterval))
	switch {
	case answer.hasEpoch() && answer.Epoch != f.listEpoch:
		f.needsConsistentList = true
		f.restartIncrementalList(now)
	case answer.Outcome == OutcomeHistoryGone:
		output.Events = append(output.Events, Event{EventHistoryGone, fmt.Sprintf("after revision %d, epoch %d", storeview.ChangeNumberOf(call.AfterRevision), answer.Epoch)})
		f.restartIncrementalList(now)
	case answer.Outcome != OutcomeAnswered:
		w.nextCallAt = maxTime(now, w.sentAt.Add(targetsWatchRetry))
	default:
		f.emitChange(f.view.Merge(now, answer.Entries), output)
		w.revision = max(w.revision, answer.Revision)
		f.routesConfirmedAt = w.sentAt
		f.consecutiveGaps = 0
	}
}

// restartIncrementalList lists anew after changes may have been missed. What is known stays in use
// until the new list replaces it; it begins at the same key, so that the oldest state is replaced
// first.
func (f *Follower) restartIncrementalList(now time.Time) {
	f.abandonCalls()
	f.restartList()
	f.consecutiveGaps++
	f.nextCallAt = now.Add(f.jitter(f.gapBackoff()))
}
