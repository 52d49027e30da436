package storeview

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// stateIn returns an entry of a target that is open or draining.
func stateIn(key string, revision uint64, isDraining bool, incarnation uint64) Entry {
	return Entry{Key: key, Revision: revision, Target: &Target{Identifier: 1, Service: "s", Draining: isDraining, Incarnation: incarnation}}
}

// newRestoredView returns a view that knew five targets up to revision 20 and then listed a backup
// of revision 10 in the next epoch. The backup lacks that a is draining, b was removed, c restarted
// and d started.
func newRestoredView() *View {
	view := New(time.Minute)
	view.MergeAll(testStart, []Entry{
		stateIn("a", 12, true, 5), stateIn("b", 3, false, 5), stateIn("c", 14, false, 9), stateIn("d", 15, false, 5), stateIn("e", 5, false, 5),
	}, 15)
	view.Merge(testStart, []Entry{removalEntry("b", 16)})
	view.AdvanceTo(20)
	view.MergeAll(testStart, copiedTargets(), RevisionIn(1, 10))
	return view
}

func copiedTargets() []Entry {
	return []Entry{
		stateIn("a", RevisionIn(1, 2), false, 5), stateIn("b", RevisionIn(1, 3), false, 5),
		stateIn("c", RevisionIn(1, 4), false, 5), stateIn("e", RevisionIn(1, 5), false, 5),
	}
}

func statesOf(view *View) string {
	states := ""
	for _, target := range view.Targets() {
		states += fmt.Sprintf("%s %s %d; ", target.Key, target.State(), target.Incarnation)
	}
	return states
}

// settle finishes the grace periods of a view that knows all that the store held at a time.
func settle(view *View, at time.Time) Change { return view.Settle(at, at) }

const (
	statesBefore = "a draining 5; b gone 5; c open 9; d open 5; e open 5; "
	statesCopied = "a open 5; b open 5; c open 5; d gone 5; e open 5; "
)

func TestWhatIsLaterThanACopyStandsUntilItIsWrittenAgain(t *testing.T) {
	span := DefaultConfig().RestoredFor
	t.Run("newer state is kept", func(t *testing.T) {
		view := newRestoredView()
		assert.Equal(t, statesOf(view), statesBefore)
		settle(view, testStart.Add(DefaultConfig().RewrittenWithin-1))
		assert.Equal(t, statesOf(view), statesBefore)
	})
	t.Run("an entry not rewritten in time counts as removed", func(t *testing.T) {
		view := newRestoredView()
		settle(view, testStart.Add(DefaultConfig().RewrittenWithin))
		assert.Equal(t, statesOf(view), "a draining 5; b gone 5; c open 9; d gone 5; e open 5; ")
		settle(view, testStart.Add(span-1))
		assert.Equal(t, statesOf(view), "a draining 5; b gone 5; c open 9; d gone 5; e open 5; ")
	})
	t.Run("the store's content wins after the grace period", func(t *testing.T) {
		view := newRestoredView()
		change := settle(view, testStart.Add(span))
		assert.Equal(t, statesOf(view), statesCopied)
		assert.Assert(t, change.Targets)
	})
	t.Run("a rewritten entry wins at once", func(t *testing.T) {
		view := newRestoredView()
		view.Merge(testStart, []Entry{stateIn("b", RevisionIn(1, 11), false, 5), removalEntry("d", RevisionIn(1, 12))})
		assert.Equal(t, statesOf(view), "a draining 5; b open 5; c open 9; d gone 5; e open 5; ")
	})
	t.Run("an expired entry of the backup does not come back", func(t *testing.T) {
		view := newRestoredView()
		view.Merge(testStart, []Entry{removalEntry("b", RevisionIn(1, 11))})
		settle(view, testStart.Add(span))
		assert.Equal(t, view.Target("b").State(), StateGone)
	})
	t.Run("a later list removes expired entries", func(t *testing.T) {
		view := newRestoredView()
		view.MergeAll(testStart, copiedTargets()[2:], RevisionIn(1, 13))
		settle(view, testStart.Add(span))
		assert.Equal(t, statesOf(view), "a gone 5; b gone 5; c open 5; d gone 5; e open 5; ")
	})
}

// A peer that listed a restored store after an entry of the backup had expired must pass on that
// expiry, not only the target's state from the earlier epoch.
func TestAPeerTellsThatACopysEntryExpired(t *testing.T) {
	later := New(time.Minute)
	later.MergeAll(testStart, []Entry{stateIn("a", 12, true, 5), stateIn("e", 5, false, 5)}, 15)
	later.MergeAll(testStart, copiedTargets()[3:], RevisionIn(1, 11))
	view := newRestoredView()
	view.MergeAll(testStart, later.EntriesSince(testStart, 0, Held{}), later.Revision())
	settle(view, testStart.Add(DefaultConfig().RestoredFor))
	assert.Equal(t, view.Target("a").State(), StateGone)
}

// An entry that a peer knows only from the earlier epoch must not count as content of the restored
// store.
func TestWhatWentBetweenTwoListsOfACopyIsGone(t *testing.T) {
	early, late := newRestoredView(), New(time.Minute)
	late.MergeAll(testStart, []Entry{stateIn("e", 5, false, 5)}, 15)
	late.MergeAll(testStart, nil, RevisionIn(1, 11))
	assert.Equal(t, late.Target("e").State(), StateOpen, "it may have started after the backup was made")
	early.MergeAll(testStart, late.EntriesSince(testStart, 0, Held{}), late.Revision())
	assert.Equal(t, early.Target("e").State(), StateGone)
}

// A stale list of a restored store must not resurrect entries that a later list of the same epoch
// lacked.
func TestAStaleListOfACopyBringsNothingBack(t *testing.T) {
	view := New(time.Minute)
	view.MergeAll(testStart, []Entry{stateIn("a", 12, true, 5), stateIn("e", 5, false, 5)}, 15)
	view.MergeAll(testStart, nil, RevisionIn(1, 11))
	view.MergeAll(testStart, copiedTargets(), RevisionIn(1, 5))
	assert.Equal(t, view.Target("e").State(), StateGone)
	assert.Equal(t, view.Target("a").State(), StateDraining)
	settle(view, testStart.Add(DefaultConfig().RestoredFor))
	assert.Equal(t, view.Target("a").State(), StateGone)
}

// A backup must not resurrect a target of which only the tombstone is left, since another target
// may have its address.
func TestACopyBringsNothingBackThatWentLongAgo(t *testing.T) {
	view := New(time.Second)
	view.MergeAll(testStart, []Entry{stateIn("b", 3, false, 5), stateIn("e", 5, false, 5)}, 15)
	view.Merge(testStart, []Entry{removalEntry("b", 16)})
	view.AdvanceTo(16)
	now := testStart.Add(time.Second)
	view.Expire(now)
	assert.Assert(t, view.Target("b") == nil)
	view.MergeAll(now, copiedTargets()[1:2], RevisionIn(1, 10))
	assert.Assert(t, view.Target("b") == nil)
	started := New(time.Second)
	started.MergeAll(now, view.EntriesSince(now, 0, Held{}), view.Revision())
	assert.Assert(t, started.Target("b") == nil, "a newly started daemon learns of the removal")
	t.Run("a stale list after its removal from the restored store resurrects nothing", func(t *testing.T) {
		listed := New(time.Second)
		listed.MergeAll(testStart, []Entry{stateIn("e", 5, false, 5)}, 15)
		listed.Merge(testStart, []Entry{removalEntry("b", 16)})
		listed.MergeAll(now, nil, RevisionIn(1, 11))
		listed.MergeAll(now, copiedTargets()[1:2], RevisionIn(1, 3))
		settle(listed, now.Add(DefaultConfig().RestoredFor))
		assert.Assert(t, listed.Target("b") == nil)
	})
	t.Run("an expired entry stays removed", func(t *testing.T) {
		started.MergeAll(now, nil, RevisionIn(1, 11))
		settle(started, now.Add(DefaultConfig().RestoredFor))
		assert.Assert(t, started.Target("b") == nil)
	})
	settle(view, now.Add(DefaultConfig().RestoredFor))
	assert.Equal(t, view.Target("b").State(), StateOpen, "the store's content wins")
}

// A target that counted as removed at the end of a grace period must not come back with a later
// restore from an older backup.
func TestWhatWasGoneInOneEpochIsNotBackInTheNext(t *testing.T) {
	view := newRestoredView()
	now := testStart.Add(DefaultConfig().RestoredFor)
	settle(view, now)
	assert.Equal(t, view.Target("d").State(), StateGone)
	view.MergeAll(now, append(copiedTargets(), stateIn("d", RevisionIn(2, 9), false, 5)), RevisionIn(2, 9))
	assert.Equal(t, view.Target("d").State(), StateGone)
}

func TestAnOrderThatACopyLacksStands(t *testing.T) {
	order := &Order{Kind: OrderEvacuate, Zone: "z"}
	view := New(time.Minute)
	view.MergeAll(testStart, []Entry{{Key: "given", Revision: 12, Order: order}, {Key: "withdrawn", Revision: 3, Order: order}}, 12)
	view.Merge(testStart, []Entry{removalEntry("withdrawn", 13)})
	view.MergeAll(testStart, []Entry{{Key: "withdrawn", Revision: RevisionIn(1, 3), Order: order}}, RevisionIn(1, 10))
	assert.Equal(t, len(view.Orders()), 1)
	assert.Equal(t, view.Orders()[0].Key, "given")
	settle(view, testStart.Add(DefaultConfig().RestoredFor))
	assert.Equal(t, len(view.Orders()), 1)
	assert.Equal(t, view.Orders()[0].Key, "withdrawn", "the store's content wins")
}

// A daemon that listed only the backup, one that learned from a peer, and one that did both in
// either order all reach the peer's state.
func TestEveryWayToLearnOfACopyEndsAlike(t *testing.T) {
	knowing := newRestoredView()
	whole := func(view *View) {
		view.MergeAll(testStart, knowing.EntriesSince(testStart, 0, Held{}), knowing.Revision())
	}
	listed := func(view *View) { view.MergeAll(testStart, copiedTargets(), RevisionIn(1, 10)) }
	asked := func(view *View) {
		view.Merge(testStart, knowing.EntriesSince(testStart, view.Revision(), Held{}))
		view.AdvanceTo(knowing.Revision())
	}
	for name, ways := range map[string][]func(*View){
		"told": {whole}, "told, then listed": {whole, listed}, "listed, then told": {listed, whole}, "listed, then asked": {listed, asked},
	} {
		t.Run(name, func(t *testing.T) {
			view := New(time.Minute)
			for _, learn := range ways {
				learn(view)
			}
			assert.Equal(t, statesOf(view), statesBefore)
			settle(view, testStart.Add(DefaultConfig().RestoredFor))
			assert.Equal(t, statesOf(view), statesCopied)
		})
	}
}

// written is the history of writes to a store and the number of the last.
type written struct {
	entries []Entry
	number  uint64
}

// write adds a random target's next change: start, drain, end, restart.
func (w *written) write(t *rapid.T, epoch uint64) {
	w.number++
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	revision := RevisionIn(epoch, w.number)
	var last *Entry
	for index := range w.entries {
		if w.entries[index].Key == key {
			last = &w.entries[index]
		}
	}
	switch {
	case last == nil || last.IsRemoval():
		w.entries = append(w.entries, stateIn(key, revision, false, w.number+100*epoch))
	case !last.Target.Draining:
		w.entries = append(w.entries, stateIn(key, revision, true, last.Target.Incarnation))
	default:
		w.entries = append(w.entries, removalEntry(key, revision))
	}
}

// content returns the store's content after all writes.
func (w *written) content() []Entry {
	view := New(time.Hour)
	view.MergeAll(testStart, nil, 0)
	var entries []Entry
	view.Merge(testStart, w.entries)
	for _, target := range view.Targets() {
		if !target.Gone {
			described := target.Target
			entries = append(entries, Entry{Key: target.Key, Revision: target.Revision, Target: &described})
		}
	}
	return entries
}

// Daemons with different knowledge of a store that learn of its restore in any order, from it or
// from each other, agree with the store after the grace period.
func TestViewsOfARestoredStoreAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before written
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before.write(t, 0)
		}
		copied := written{number: uint64(rapid.IntRange(0, int(before.number)).Draw(t, "copied"))}
		for _, entry := range before.entries[:copied.number] {
			entry.Revision = RevisionIn(1, entry.Revision)
			copied.entries = append(copied.entries, entry)
		}
		views := make([]*View, 3)
		for index := range views {
			known := written{number: uint64(rapid.IntRange(0, int(before.number)).Draw(t, "known"))}
			known.entries = before.entries[:known.number]
			views[index] = New(time.Hour)
			if known.number > 0 {
				views[index].MergeAll(testStart, known.content(), known.number)
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes of the copy") {
			copied.write(t, 1)
		}
		now := testStart
		for index, view := range views {
			if index > 0 && rapid.Bool().Draw(t, "is told") {
				teller := views[index-1]
				view.MergeAll(now, teller.EntriesSince(now, 0, Held{}), teller.Revision())
			}
			view.MergeAll(now, copied.content(), RevisionIn(1, copied.number))
		}
		now = now.Add(DefaultConfig().RestoredFor)
		expected := ""
		for _, entry := range copied.content() {
			expected += fmt.Sprintf("%s %v %d; ", entry.Key, entry.Target.Draining, entry.Target.Incarnation)
		}
		for _, view := range views {
			settle(view, now)
			held := ""
			for _, target := range view.Targets() {
				if !target.Gone {
					held += fmt.Sprintf("%s %v %d; ", target.Key, target.Draining, target.Incarnation)
				}
			}
			assert.Equal(t, held, expected)
		}
	})
}
