package followed

import (
	"fmt"
	"time"
)

// progressInterval is the minimum interval between log lines on a list that is not complete yet.
const progressInterval = 2 * time.Second

// logProgress logs, while a starting daemon lacks the store's content, what it waits for.
func (f *Follower) logProgress(now time.Time, output *Output) {
	if f.isComplete() {
		f.nextProgressAt = time.Time{}
		return
	}
	if f.nextProgressAt.IsZero() {
		f.nextProgressAt = now.Add(progressInterval)
	}
	if now.Before(f.nextProgressAt) {
		return
	}
	f.nextProgressAt = now.Add(progressInterval)
	detail := fmt.Sprintf("%d entries listed, %d targets known; %s; last answer began after %s",
		len(f.pages), f.view.PresentTargetCount(), f.waitingFor(now), f.storeLatency.Round(time.Millisecond))
	output.Events = append(output.Events, Event{EventIncomplete, detail})
}

// waitingFor describes what the next step of the list waits for.
func (f *Follower) waitingFor(now time.Time) string {
	sentAt := f.oldestCallAt()
	switch {
	case !sentAt.IsZero():
		return fmt.Sprintf("answer awaited for %s", now.Sub(sentAt).Round(time.Millisecond))
	case f.paused:
		return "list left to other daemons"
	case now.Before(f.nextCallAt):
		return fmt.Sprintf("next call in %s", f.nextCallAt.Sub(now).Round(time.Millisecond))
	}
	return "next call due"
}

// oldestCallAt returns when the oldest list call in flight was sent, zero if there is none.
func (f *Follower) oldestCallAt() time.Time {
	var oldest time.Time
	if f.inFlight != nil {
		oldest = f.sentAt
	}
	for _, r := range f.ranges {
		if r.call != nil && (oldest.IsZero() || r.sentAt.Before(oldest)) {
			oldest = r.sentAt
		}
	}
	return oldest
}
