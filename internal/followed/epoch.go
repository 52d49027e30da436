package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// withEpochRevisions returns the answer with the epoch encoded into all revisions.
func (a *Answer) withEpochRevisions() *Answer {
	if a.Epoch == 0 {
		return a
	}
	stamped := *a
	stamped.Revision = storeview.NewRevision(a.Epoch, a.Revision)
	stamped.Entries = make([]storeview.Entry, len(a.Entries))
	for index := range a.Entries {
		entry := a.Entries[index]
		entry.Revision = storeview.NewRevision(a.Epoch, entry.Revision)
		if entry.Created > 0 {
			entry.Created = storeview.NewRevision(a.Epoch, entry.Created)
		}
		stamped.Entries[index] = entry
	}
	return &stamped
}

// isFromEarlierEpoch reports whether an answer precedes the last known restore of the store; it
// may have been in flight during the restore.
func (f *Follower) isFromEarlierEpoch(answer *Answer) bool {
	return answer.hasEpoch() && answer.Epoch < f.epoch()
}

// isFromLaterEpoch reports whether an answer is the first from a restored store.
func (f *Follower) isFromLaterEpoch(answer *Answer) bool {
	return answer.hasEpoch() && f.view.Revision() > 0 && answer.Epoch > f.epoch()
}

// isContinuedBy reports whether an answer continues from the state at the time of the call. A
// watch that started at a revision of another epoch is not a continuation, even if the store
// has assigned that number again or peers have reported the epoch meanwhile. A list and a watch
// from revision 0 always are.
func (c *Call) isContinuedBy(answer *Answer) bool {
	isFromBeginning := c.Kind == CallList || c.AfterRevision == 0
	return isFromBeginning || !answer.hasEpoch() || storeview.EpochOf(c.AfterRevision) == answer.Epoch
}

// hasEpoch reports whether the store itself sent the answer. Other errors may come from a
// proxy in front of it.
func (a *Answer) hasEpoch() bool {
	return a.Outcome == OutcomeAnswered || a.Outcome == OutcomeHistoryGone
}

// epoch returns the epoch of the view.
func (f *Follower) epoch() uint64 { return storeview.EpochOf(f.view.Revision()) }

// handleRestored handles an answer that shows that the store was restored from a backup and
// reuses the revision numbers assigned since that backup. A list, from the store or through a
// peer, must replace the view.
func (f *Follower) handleRestored(now time.Time, answer *Answer, output *Output) {
	f.recordSuccess(CallWatch, output)
	f.nextCallAt = now
	if f.consecutiveGaps++; f.consecutiveGaps > 1 {
		f.nextCallAt = now.Add(f.jitter(f.gapBackoff()))
	}
	f.phase = phaseConfirming
	if f.isFromLaterEpoch(answer) {
		f.needsConsistentList = true
		f.restartList()
	}
}

func (f *Follower) emitRestored(answer *Answer, output *Output) {
	detail := fmt.Sprintf("epoch %d after %d, revision %d after %d", answer.Epoch, f.epoch(),
		storeview.ChangeNumberOf(f.listRevision), storeview.ChangeNumberOf(f.view.Revision()))
	output.Events = append(output.Events, Event{EventRestored, detail})
}
