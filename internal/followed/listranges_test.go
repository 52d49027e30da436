package followed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/passtray/passtray/internal/storeview"
)

const slowStoreLatency = 200 * time.Millisecond

// pagedStore is a store with a configuration and targets.
type pagedStore struct {
	entries  []storeview.Entry
	pageSize int
}

func newPagedStore(targets, pageSize int) *pagedStore {
	store := &pagedStore{pageSize: pageSize, entries: []storeview.Entry{configurationEntry(5, 1)}}
	for number := range targets {
		store.entries = append(store.entries, targetEntry(fmt.Sprintf("target-%03d", number), uint64(10+number)))
	}
	return store
}

// splitterFunc is a KeySplitter.
type splitterFunc func(after string, parts int) []string

func (s splitterFunc) SplitKeys(after string, parts int) []string { return s(after, parts) }

func (s splitterFunc) KeyAt(fraction float64) string {
	return fmt.Sprintf("target-%03d", int(100*fraction))
}

// splitTargets divides the keys of a pagedStore with 100 targets.
func splitTargets(after string, parts int) []string {
	var number int
	if _, err := fmt.Sscanf(after, "target-%03d", &number); err != nil {
		return nil
	}
	var keys []string
	for index := 1; index < parts; index++ {
		keys = append(keys, fmt.Sprintf("target-%03d", number+index*(100-number)/parts))
	}
	return keys
}

// page answers a list call.
func (s *pagedStore) page(call *Call, latency time.Duration) *Answer {
	start := slices.IndexFunc(s.entries, func(entry storeview.Entry) bool { return entry.Key > call.AfterKey })
	if start < 0 {
		start = len(s.entries)
	}
	end := min(start+s.pageSize, len(s.entries))
	answer := answered(call, 500, s.entries[start:end]...)
	answer.More, answer.TimeToFirstByte = end < len(s.entries), latency
	return answer
}

// assertComplete checks that a follower has all targets of a store and confirms the list next.
func (s *pagedStore) assertComplete(t assert.TestingT, follower *Follower, next *Call) {
	assert.Equal(t, follower.View().PresentTargetCount(), len(s.entries)-1)
	assert.Assert(t, next != nil && next.Kind == CallWatch, "%+v", next)
}

// startRanges lists the pages of a store that are read one after the other at first, and returns the
// calls that follow without an answer.
func startRanges(store *pagedStore, follower *Follower, latency time.Duration) []*Call {
	call := follower.Tick(testStart).Call
	for range minLatePages {
		call = follower.Step(testStart, store.page(call, latency)).Call
	}
	var calls []*Call
	for ; call != nil; call = follower.Tick(testStart).Call {
		calls = append(calls, call)
	}
	return calls
}

func newRangeFollower() *Follower {
	follower := newTestFollower()
	follower.config.Keys = splitterFunc(splitTargets)
	return follower
}

func TestListRanges(t *testing.T) {
	store := newPagedStore(100, 5)
	t.Run("pages of a store with low latency are read one after the other", func(t *testing.T) {
		assert.Equal(t, len(startRanges(store, newRangeFollower(), 10*time.Millisecond)), 1)
	})
	t.Run("pages of a store with high latency are read concurrently", func(t *testing.T) {
		calls := startRanges(store, newRangeFollower(), slowStoreLatency)
		assert.Equal(t, len(calls), int(slowStoreLatency/latencyPerRange))
		for _, call := range calls {
			assert.Assert(t, !call.AllowStale, "only the first page may be stale")
		}
	})
	t.Run("pages of a store that is late for a short time are read one after the other", func(t *testing.T) {
		follower := newRangeFollower()
		call := follower.Tick(testStart).Call
		for range minLatePages - 1 {
			call = follower.Step(testStart, store.page(call, slowStoreLatency)).Call
		}
		assert.Assert(t, follower.Step(testStart, store.page(call, time.Millisecond)).Call != nil)
		assert.Assert(t, follower.Tick(testStart).Call == nil)
	})
	t.Run("keys that cannot be divided are read one after the other", func(t *testing.T) {
		follower := newRangeFollower()
		follower.config.Keys = splitterFunc(func(string, int) []string { return nil })
		assert.Equal(t, len(startRanges(store, follower, slowStoreLatency)), 1)
	})
	t.Run("the list is as recent as its first page", func(t *testing.T) {
		follower := newRangeFollower()
		calls := startRanges(store, follower, slowStoreLatency)
		var next *Call
		for len(calls) > 0 {
			next = follower.Step(testStart, store.page(calls[0], slowStoreLatency)).Call
			calls = calls[1:]
			if next != nil && next.Kind == CallList {
				calls = append(calls, next)
			}
		}
		store.assertComplete(t, follower, next)
		assert.Equal(t, next.AfterRevision, uint64(13))
	})
	t.Run("a failed page is read again after a backoff, while the other ranges go on", func(t *testing.T) {
		follower := newRangeFollower()
		calls := startRanges(store, follower, slowStoreLatency)
		assert.Assert(t, follower.Step(testStart, answerWithOutcome(calls[1], OutcomeUnavailable)).Call == nil)
		next := follower.Step(testStart, store.page(calls[0], slowStoreLatency)).Call
		assert.Assert(t, next.AfterKey > calls[0].AfterKey && next.AfterKey < calls[1].AfterKey)
		again := follower.Tick(testStart.Add(DefaultConfig().MaxBackoff)).Call
		assert.Equal(t, again.AfterKey, calls[1].AfterKey)
	})
	t.Run("an overdue page counts as failed", func(t *testing.T) {
		follower := newRangeFollower()
		calls := startRanges(store, follower, slowStoreLatency)
		follower.Tick(testStart.Add(calls[0].MaxDuration() + 2*follower.config.Slack))
		assert.Assert(t, follower.IsLost() && !follower.IsPending(calls[0].Number))
	})
	t.Run("a restored store is listed again from the beginning", func(t *testing.T) {
		follower := newRangeFollower()
		calls := startRanges(store, follower, slowStoreLatency)
		page := store.page(calls[0], slowStoreLatency)
		page.Epoch = 1
		again := follower.Step(testStart, page).Call
		assert.Assert(t, again.AfterKey == "" && !again.AllowStale)
	})
	t.Run("targets that are listed first are known before the list is complete", func(t *testing.T) {
		follower := newRangeFollower()
		follower.config.LinkBytes = 10 * megabit
		targets := &pagedStore{entries: store.entries[1:], pageSize: store.pageSize}
		calls := startRanges(targets, follower, slowStoreLatency)
		assert.Assert(t, calls[0].TargetsOnly && calls[1].TargetsOnly)
		follower.Step(testStart, targets.page(calls[1], slowStoreLatency))
		assert.Equal(t, follower.View().PresentTargetCount(), (minLatePages+1)*store.pageSize)
	})
	t.Run("a snapshot from a peer replaces the list", func(t *testing.T) {
		follower := newRangeFollower()
		calls := startRanges(store, follower, slowStoreLatency)
		follower.MergeDelta(testStart, snapshotDelta())
		assert.Assert(t, !follower.IsPending(calls[0].Number))
		assert.Equal(t, follower.Tick(testStart).Call.Kind, CallWatch)
	})
}

// TestListRangesAreComplete checks that ranges with any bounds, pages of any size, answers in any
// order and failed calls result in a list with every entry.
func TestListRangesAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newPagedStore(rapid.IntRange(0, 60).Draw(t, "targets"), rapid.IntRange(1, 20).Draw(t, "page size"))
		follower := newTestFollower()
		follower.config.Keys = splitterFunc(func(string, int) []string {
			numbers := rapid.SliceOfN(rapid.IntRange(0, 80), 0, 5).Draw(t, "split keys")
			slices.Sort(numbers)
			var keys []string
			for _, number := range numbers {
				keys = append(keys, fmt.Sprintf("target-%03d", number))
			}
			return keys
		})
		now := testStart
		var calls []*Call
		for range 2000 {
			call := follower.Tick(now).Call
			if call != nil && call.Kind == CallWatch {
				store.assertComplete(t, follower, call)
				return
			}
			if call != nil {
				calls = append(calls, call)
			}
			now = now.Add(100 * time.Millisecond)
			calls = slices.DeleteFunc(calls, func(call *Call) bool { return !follower.IsPending(call.Number) })
			if len(calls) == 0 || rapid.IntRange(0, 3).Draw(t, "is delayed") == 0 {
				continue
			}
			index := rapid.IntRange(0, len(calls)-1).Draw(t, "answered call")
			answer := store.page(calls[index], slowStoreLatency)
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				answer = answerWithOutcome(calls[index], OutcomeUnavailable)
			}
			calls = slices.Delete(calls, index, index+1)
			call = follower.Step(now, answer).Call
			if call != nil && call.Kind == CallWatch {
				store.assertComplete(t, follower, call)
				return
			}
			if call != nil {
				calls = append(calls, call)
			}
		}
		t.Fatal("the list did not complete")
	})
}

// TestLostPageIsRequestedAgain guards against a list of many pages that waits for a full timeout for
// each lost answer.
func TestLostPageIsRequestedAgain(t *testing.T) {
	secondPage := func(latency time.Duration) (*Follower, *Call) {
		follower := newTestFollower()
		follower.memberCount = 1000
		first := answered(follower.Tick(testStart).Call, 20, targetEntry("a", 18))
		first.More, first.TimeToFirstByte = true, latency
		return follower, follower.Step(testStart, first).Call
	}
	t.Run("soon, whatever the size of the group", func(t *testing.T) {
		follower, call := secondPage(4 * time.Millisecond)
		again := follower.Tick(testStart.Add(DefaultConfig().HedgeAfter)).Call
		assert.Assert(t, again != nil && again.AfterKey == call.AfterKey)
	})
	t.Run("only after the timeout if the store is slow", func(t *testing.T) {
		follower, call := secondPage(minCongestedLatency)
		assert.Assert(t, follower.Tick(testStart.Add(call.Timeout)).Call == nil)
	})
}
