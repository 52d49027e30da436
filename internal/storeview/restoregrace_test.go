package storeview

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// stateEntry returns an entry of a target that is open or draining.
func stateEntry(key string, revision uint64, isDraining bool, incarnation uint64) Entry {
	return Entry{Key: key, Revision: revision, Target: &Target{Identifier: 1, Service: "s", Draining: isDraining, Incarnation: incarnation}}
}

// newRestoredView returns a view that knew five targets up to revision 20 and then listed a backup
// of revision 10 in the next epoch. The backup was made before a was drained, b was removed, c was
// restarted and d was started.
func newRestoredView() *View {
	view := New(time.Minute)
	view.MergeSnapshot(testStart, []Entry{
		stateEntry("a", 12, true, 5), stateEntry("b", 3, false, 5), stateEntry("c", 14, false, 9), stateEntry("d", 15, false, 5), stateEntry("e", 5, false, 5),
	}, 15)
	view.Merge(testStart, []Entry{removalEntry("b", 16)})
	view.AdvanceTo(20)
	view.MergeSnapshot(testStart, backupEntries(), NewRevision(1, 10))
	return view
}

func backupEntries() []Entry {
	return []Entry{
		stateEntry("a", NewRevision(1, 2), false, 5), stateEntry("b", NewRevision(1, 3), false, 5),
		stateEntry("c", NewRevision(1, 4), false, 5), stateEntry("e", NewRevision(1, 5), false, 5),
	}
}

func statesOf(view *View) string {
	states := ""
	for _, target := range view.Targets() {
		states += fmt.Sprintf("%s %s %d; ", target.Key, target.State(), target.Incarnation)
	}
	return states
}

// finishRestore finishes the grace periods of a view that knows all that the store held at a time.
func finishRestore(view *View, at time.Time) Change { return view.EndGracePeriods(at, at) }

const (
	statesBeforeRestore = "a draining 5; b gone 5; c open 9; d open 5; e open 5; "
	statesInBackup      = "a open 5; b open 5; c open 5; d gone 5; e open 5; "
)

func TestStateNewerThanBackupIsKeptDuringGrace(t *testing.T) {
	grace := DefaultConfig().RestoreGrace
	t.Run("newer state is kept", func(t *testing.T) {
		view := newRestoredView()
		assert.Equal(t, statesOf(view), statesBeforeRestore)
		finishRestore(view, testStart.Add(DefaultConfig().RewriteGrace-1))
		assert.Equal(t, statesOf(view), statesBeforeRestore)
	})
	t.Run("an entry not rewritten in time counts as removed", func(t *testing.T) {
		view := newRestoredView()
		finishRestore(view, testStart.Add(DefaultConfig().RewriteGrace))
		assert.Equal(t, statesOf(view), "a draining 5; b gone 5; c open 9; d gone 5; e open 5; ")
		finishRestore(view, testStart.Add(grace-1))
		assert.Equal(t, statesOf(view), "a draining 5; b gone 5; c open 9; d gone 5; e open 5; ")
	})
	t.Run("the store's content wins after the grace period", func(t *testing.T) {
		view := newRestoredView()
		change := finishRestore(view, testStart.Add(grace))
		assert.Equal(t, statesOf(view), statesInBackup)
		assert.Assert(t, change.Targets)
	})
	t.Run("a rewritten entry wins at once", func(t *testing.T) {
		view := newRestoredView()
		view.Merge(testStart, []Entry{stateEntry("b", NewRevision(1, 11), false, 5), removalEntry("d", NewRevision(1, 12))})
		assert.Equal(t, statesOf(view), "a draining 5; b open 5; c open 9; d gone 5; e open 5; ")
	})
	t.Run("an expired entry of the backup does not come back", func(t *testing.T) {
		view := newRestoredView()
		view.Merge(testStart, []Entry{removalEntry("b", NewRevision(1, 11))})
		finishRestore(view, testStart.Add(grace))
		assert.Equal(t, view.Target("b").State(), StateGone)
	})
	t.Run("a later list removes expired entries", func(t *testing.T) {
		view := newRestoredView()
		view.MergeSnapshot(testStart, backupEntries()[2:], NewRevision(1, 13))
		finishRestore(view, testStart.Add(grace))
		assert.Equal(t, statesOf(view), "a gone 5; b gone 5; c open 5; d gone 5; e open 5; ")
	})
}

// A peer that listed a restored store after an entry of the backup had expired must pass on that
// expiry, not only the target's state from the earlier epoch.
func TestExpiryFromBackupReachesPeers(t *testing.T) {
	later := New(time.Minute)
	later.MergeSnapshot(testStart, []Entry{stateEntry("a", 12, true, 5), stateEntry("e", 5, false, 5)}, 15)
	later.MergeSnapshot(testStart, backupEntries()[3:], NewRevision(1, 11))
	view := newRestoredView()
	view.MergeSnapshot(testStart, later.EntriesSince(testStart, 0, Held{}), later.Revision())
	finishRestore(view, testStart.Add(DefaultConfig().RestoreGrace))
	assert.Equal(t, view.Target("a").State(), StateGone)
}

// An entry that a peer knows only from the earlier epoch must not count as content of the restored
// store.
func TestRemovalBetweenListsOfRestoredStore(t *testing.T) {
	early, late := newRestoredView(), New(time.Minute)
	late.MergeSnapshot(testStart, []Entry{stateEntry("e", 5, false, 5)}, 15)
	late.MergeSnapshot(testStart, nil, NewRevision(1, 11))
	assert.Equal(t, late.Target("e").State(), StateOpen, "must stay open, as it may have started after the backup was made")
	early.MergeSnapshot(testStart, late.EntriesSince(testStart, 0, Held{}), late.Revision())
	assert.Equal(t, early.Target("e").State(), StateGone)
}

// A stale list of a restored store must not resurrect entries that a later list of the same epoch
// lacked.
func TestStaleListOfRestoredStoreResurrectsNothing(t *testing.T) {
	view := New(time.Minute)
	view.MergeSnapshot(testStart, []Entry{stateEntry("a", 12, true, 5), stateEntry("e", 5, false, 5)}, 15)
	view.MergeSnapshot(testStart, nil, NewRevision(1, 11))
	view.MergeSnapshot(testStart, backupEntries(), NewRevision(1, 5))
	assert.Equal(t, view.Target("e").State(), StateGone)
	assert.Equal(t, view.Target("a").State(), StateDraining)
	finishRestore(view, testStart.Add(DefaultConfig().RestoreGrace))
	assert.Equal(t, view.Target("a").State(), StateGone)
}

// A backup must not resurrect a target of which only the tombstone is left, since another target
// may have its address.
func TestTombstoneOutlivesRestore(t *testing.T) {
	view := New(time.Second)
	view.MergeSnapshot(testStart, []Entry{stateEntry("b", 3, false, 5), stateEntry("e", 5, false, 5)}, 15)
	view.Merge(testStart, []Entry{removalEntry("b", 16)})
	view.AdvanceTo(16)
	now := testStart.Add(time.Second)
	view.Expire(now)
	assert.Assert(t, view.Target("b") == nil)
	view.MergeSnapshot(now, backupEntries()[1:2], NewRevision(1, 10))
	assert.Assert(t, view.Target("b") == nil)
	started := New(time.Second)
	started.MergeSnapshot(now, view.EntriesSince(now, 0, Held{}), view.Revision())
	assert.Assert(t, started.Target("b") == nil, "a newly started daemon must learn of the removal")
	t.Run("a stale list after its removal from the restored store resurrects nothing", func(t *testing.T) {
		listed := New(time.Second)
		listed.MergeSnapshot(testStart, []Entry{stateEntry("e", 5, false, 5)}, 15)
		listed.Merge(testStart, []Entry{removalEntry("b", 16)})
		listed.MergeSnapshot(now, nil, NewRevision(1, 11))
		listed.MergeSnapshot(now, backupEntries()[1:2], NewRevision(1, 3))
		finishRestore(listed, now.Add(DefaultConfig().RestoreGrace))
		assert.Assert(t, listed.Target("b") == nil)
	})
	t.Run("an expired entry stays removed", func(t *testing.T) {
		started.MergeSnapshot(now, nil, NewRevision(1, 11))
		finishRestore(started, now.Add(DefaultConfig().RestoreGrace))
		assert.Assert(t, started.Target("b") == nil)
	})
	finishRestore(view, now.Add(DefaultConfig().RestoreGrace))
	assert.Equal(t, view.Target("b").State(), StateOpen, "the store's content must win")
}

// A target that counted as removed at the end of a grace period must not come back with a later
// restore from an older backup.
func TestRemovalAtGraceEndSurvivesNextRestore(t *testing.T) {
	view := newRestoredView()
	now := testStart.Add(DefaultConfig().RestoreGrace)
	finishRestore(view, now)
	assert.Equal(t, view.Target("d").State(), StateGone)
	view.MergeSnapshot(now, append(backupEntries(), stateEntry("d", NewRevision(2, 9), false, 5)), NewRevision(2, 9))
	assert.Equal(t, view.Target("d").State(), StateGone)
}

func TestOrderMissingFromBackupIsKept(t *testing.T) {
	order := &Order{Kind: OrderEvacuate, Zone: "z"}
	view := New(time.Minute)
	view.MergeSnapshot(testStart, []Entry{{Key: "given", Revision: 12, Order: order}, {Key: "withdrawn", Revision: 3, Order: order}}, 12)
	view.Merge(testStart, []Entry{removalEntry("withdrawn", 13)})
	view.MergeSnapshot(testStart, []Entry{{Key: "withdrawn", Revision: NewRevision(1, 3), Order: order}}, NewRevision(1, 10))
	assert.Equal(t, len(view.Orders()), 1)
	assert.Equal(t, view.Orders()[0].Key, "given")
	finishRestore(view, testStart.Add(DefaultConfig().RestoreGrace))
	assert.Equal(t, len(view.Orders()), 1)
	assert.Equal(t, view.Orders()[0].Key, "withdrawn", "the store's content must win")
}

// A daemon that listed only the backup, one that learned from a peer, and one that did both in
// either order all reach the peer's state.
func TestRestoreConvergesOnEveryPath(t *testing.T) {
	informed := newRestoredView()
	full := func(view *View) {
		view.MergeSnapshot(testStart, informed.EntriesSince(testStart, 0, Held{}), informed.Revision())
	}
	listed := func(view *View) { view.MergeSnapshot(testStart, backupEntries(), NewRevision(1, 10)) }
	polled := func(view *View) {
		view.Merge(testStart, informed.EntriesSince(testStart, view.Revision(), Held{}))
		view.AdvanceTo(informed.Revision())
	}
	for name, steps := range map[string][]func(*View){
		"synced": {full}, "synced, then listed": {full, listed}, "listed, then synced": {listed, full}, "listed, then polled": {listed, polled},
	} {
		t.Run(name, func(t *testing.T) {
			view := New(time.Minute)
			for _, step := range steps {
				step(view)
			}
			assert.Equal(t, statesOf(view), statesBeforeRestore)
			finishRestore(view, testStart.Add(DefaultConfig().RestoreGrace))
			assert.Equal(t, statesOf(view), statesInBackup)
		})
	}
}

// storeHistory is the history of writes to a store and the number of the last.
type storeHistory struct {
	entries []Entry
	number  uint64
}

// write adds a random target's next change: start, drain, end, restart.
func (w *storeHistory) write(t *rapid.T, epoch uint64) {
	w.number++
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	revision := NewRevision(epoch, w.number)
	var last *Entry
	for index := range w.entries {
		if w.entries[index].Key == key {
			last = &w.entries[index]
		}
	}
	switch {
	case last == nil || last.IsRemoval():
		w.entries = append(w.entries, stateEntry(key, revision, false, w.number+100*epoch))
	case !last.Target.Draining:
		w.entries = append(w.entries, stateEntry(key, revision, true, last.Target.Incarnation))
	default:
		w.entries = append(w.entries, removalEntry(key, revision))
	}
}

// content returns the store's content after all writes.
func (w *storeHistory) content() []Entry {
	view := New(time.Hour)
	view.MergeSnapshot(testStart, nil, 0)
	var entries []Entry
	view.Merge(testStart, w.entries)
	for _, target := range view.Targets() {
		if !target.IsRemoved {
			described := target.Target
			entries = append(entries, Entry{Key: target.Key, Revision: target.Revision, Target: &described})
		}
	}
	return entries
}

// Daemons with different knowledge of a store that learn of its restore in any order, from it or
// from each other, agree with the store after the grace period.
func TestViewsOfRestoredStoreConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before storeHistory
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before.write(t, 0)
		}
		restored := storeHistory{number: uint64(rapid.IntRange(0, int(before.number)).Draw(t, "in backup"))}
		for _, entry := range before.entries[:restored.number] {
			entry.Revision = NewRevision(1, entry.Revision)
			restored.entries = append(restored.entries, entry)
		}
		views := make([]*View, 3)
		for index := range views {
			known := storeHistory{number: uint64(rapid.IntRange(0, int(before.number)).Draw(t, "known"))}
			known.entries = before.entries[:known.number]
			views[index] = New(time.Hour)
			if known.number > 0 {
				views[index].MergeSnapshot(testStart, known.content(), known.number)
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes after the restore") {
			restored.write(t, 1)
		}
		now := testStart
		for index, view := range views {
			if index > 0 && rapid.Bool().Draw(t, "is synced") {
				sender := views[index-1]
				view.MergeSnapshot(now, sender.EntriesSince(now, 0, Held{}), sender.Revision())
			}
			view.MergeSnapshot(now, restored.content(), NewRevision(1, restored.number))
		}
		now = now.Add(DefaultConfig().RestoreGrace)
		expected := ""
		for _, entry := range restored.content() {
			expected += fmt.Sprintf("%s %v %d; ", entry.Key, entry.Target.Draining, entry.Target.Incarnation)
		}
		for _, view := range views {
			finishRestore(view, now)
			held := ""
			for _, target := range view.Targets() {
				if !target.IsRemoved {
					held += fmt.Sprintf("%s %v %d; ", target.Key, target.Draining, target.Incarnation)
				}
			}
			assert.Equal(t, held, expected)
		}
	})
}
