package followed

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countProgress ticks a follower for some time and returns its log lines on an incomplete list.
func countProgress(follower *Follower, from time.Time, duration time.Duration) []Event {
	var progress []Event
	for after := time.Duration(0); after <= duration; after += 50 * time.Millisecond {
		events := follower.Tick(from.Add(after)).Events
		progress = append(progress, slices.DeleteFunc(events, func(event Event) bool { return event.Kind != EventIncomplete })...)
	}
	return progress
}

// A daemon that serves nobody because it waits for a page wrote no log line for twenty seconds.
func TestIncompleteListIsLogged(t *testing.T) {
	t.Run("while an answer is awaited", func(t *testing.T) {
		follower := newTestFollower()
		follower.Tick(testStart)
		progress := countProgress(follower, testStart, 700*time.Millisecond)
		assert.Equal(t, len(progress), 0, "%v", progress)
		progress = countProgress(follower, testStart.Add(750*time.Millisecond), 9*time.Second)
		assert.Assert(t, len(progress) >= 4 && len(progress) <= 5, "%v", progress)
	})
	t.Run("while a pause before the next page lasts", func(t *testing.T) {
		follower := newTestFollower()
		page := answered(follower.Tick(testStart).Call, 9, targetEntry("a", 3))
		page.More = true
		follower.Step(testStart, page)
		follower.abandonCalls()
		follower.nextCallAt = testStart.Add(time.Hour)
		progress := countProgress(follower, testStart, 2*progressInterval)
		assert.Equal(t, len(progress), 2)
		assert.Assert(t, strings.Contains(progress[1].Detail, "1 entries listed") && strings.Contains(progress[1].Detail, "next call in"), progress[1].Detail)
	})
	t.Run("not once the list is complete", func(t *testing.T) {
		follower := newTestFollower()
		startWatching(t, follower)
		assert.Equal(t, len(countProgress(follower, testStart, 10*time.Second)), 0)
	})
}
