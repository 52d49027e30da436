package storeview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runEntry returns an entry of target 1, written by an incarnation that has made some writes.
func runEntry(revision, incarnation, sequence uint64, isDraining bool) Entry {
	return Entry{Key: "a", Revision: revision, Target: &Target{
		Identifier: 1, Service: "s", Draining: isDraining, Incarnation: incarnation, Sequence: sequence,
	}}
}

// TestDelayedWriteDoesNotReopenLeavingTarget guards against new flows to a target that drains, after the
// store applied an earlier write late in which it was open.
func TestDelayedWriteDoesNotReopenLeavingTarget(t *testing.T) {
	began := testStart.Add(time.Minute)
	newView := func(incarnation uint64) *View {
		view := New(time.Minute)
		view.Merge(testStart, []Entry{runEntry(1, incarnation, 1, false)})
		view.Merge(began, []Entry{runEntry(2, incarnation, 9, true)})
		return view
	}
	for name, incarnations := range map[string][2]uint64{
		"no incarnation": {0, 0}, "the same incarnation": {5, 5}, "an incarnation that is not stated": {5, 0}, "an earlier incarnation": {5, 4},
	} {
		t.Run(name, func(t *testing.T) {
			view := newView(incarnations[0])
			view.Merge(began.Add(time.Second), []Entry{runEntry(3, incarnations[1], 8, false)})
			assert.Equal(t, view.Target("a").State(), StateDraining)
			assert.Assert(t, view.Target("a").Leaving.LearnedAt.Equal(began))
			assert.Equal(t, view.Target("a").Revision, uint64(3))
		})
		t.Run(name+", after it left", func(t *testing.T) {
			view := newView(incarnations[0])
			view.Merge(began.Add(time.Second), []Entry{removalEntry("a", 3), runEntry(4, incarnations[1], 8, false)})
			assert.Assert(t, view.Target("a").State() != StateOpen)
		})
	}
	t.Run("a later incarnation is open", func(t *testing.T) {
		view := newView(5)
		view.Merge(began.Add(time.Second), []Entry{runEntry(3, 6, 1, false)})
		assert.Equal(t, view.Target("a").State(), StateOpen)
		assert.Assert(t, view.Target("a").Leaving == nil)
	})
	t.Run("a daemon that listed the delayed write learns from a peer", func(t *testing.T) {
		view, started := newView(0), New(time.Minute)
		view.Merge(began.Add(time.Second), []Entry{runEntry(3, 0, 8, false)})
		started.MergeSnapshot(began, []Entry{runEntry(3, 0, 8, false)}, 3)
		now := began.Add(2 * time.Second)
		change := started.Merge(now, view.EntriesSince(now, 0, Held{}))
		assert.Equal(t, started.Target("a").State(), StateDraining)
		assert.Assert(t, started.Target("a").Leaving.LearnedAt.Equal(began))
		assert.Assert(t, change.Targets)
		assert.Assert(t, !started.Merge(now, view.EntriesSince(now, 0, Held{})).Targets, "nothing new")
	})
}

// TestDelayedWriteOfEarlierIncarnation guards against taking a target that restarted under its
// identifier for its earlier incarnation, whose write the store applied late.
func TestDelayedWriteOfEarlierIncarnation(t *testing.T) {
	view := New(time.Minute)
	view.Merge(testStart, []Entry{runEntry(1, 4, 7, false), runEntry(2, 9, 1, false), runEntry(3, 4, 8, true)})
	assert.Equal(t, view.Target("a").State(), StateOpen)
	assert.Equal(t, view.Target("a").Incarnation, uint64(9))
	view.Merge(testStart, []Entry{removalEntry("a", 4), runEntry(5, 4, 8, false)})
	assert.Equal(t, view.Target("a").State(), StateGone, "the later incarnation left")
	view.Merge(testStart, []Entry{runEntry(6, 9, 4, false)})
	assert.Equal(t, view.Target("a").State(), StateOpen, "the later incarnation writes again")
}

// TestDelayedWriteDoesNotProlongSlowStart checks that the slow start keeps its end.
func TestDelayedWriteDoesNotProlongSlowStart(t *testing.T) {
	cold := func(revision, sequence uint64, remaining time.Duration) Entry {
		entry := runEntry(revision, 0, sequence, false)
		entry.Target.SlowStartRemaining = remaining
		return entry
	}
	view := New(time.Minute)
	view.Merge(testStart, []Entry{cold(1, 2, 2*time.Second)})
	view.Merge(testStart.Add(4*time.Second), []Entry{cold(2, 1, 3*time.Second)})
	assert.Assert(t, view.Target("a").WarmAt.Equal(testStart.Add(2*time.Second)))
}

// TestRestoreKeepsOrderOfStarts checks that a target of which a restored store lists an earlier state
// does not count as started later because of it.
func TestRestoreKeepsOrderOfStarts(t *testing.T) {
	at := func(key string, revision, identifier uint64) Entry {
		return Entry{Key: key, Revision: revision, Target: &Target{Identifier: identifier, Service: "s", Sequence: 1}}
	}
	view := New(time.Minute)
	view.MergeSnapshot(testStart, []Entry{at("a", 1, 1)}, 1)
	later := testStart.Add(time.Minute)
	view.SetConfirmedAt(later)
	view.Merge(later, []Entry{at("b", 2, 2)})
	view.AdvanceTo(2)
	assert.Assert(t, view.Target("b").StartedAfter(view.Target("a")))

	restored := []Entry{at("a", NewRevision(1, 1), 1), at("b", NewRevision(1, 2), 2)}
	restored[0].Target.SlowStartRemaining = time.Second
	view.MergeSnapshot(later, restored, NewRevision(1, 2))
	assert.Assert(t, view.Target("b").StartedAfter(view.Target("a")))
	finishRestore(view, later.Add(DefaultConfig().RestoreGrace))
	assert.Assert(t, view.Target("b").StartedAfter(view.Target("a")))
	assert.Assert(t, !view.Target("a").StartedAfter(view.Target("b")))
}

// firstWrite returns the first write of a target with a key of its own.
func firstWrite(revision, identifier uint64) Entry {
	return Entry{Key: string(rune('a' + identifier)), Revision: revision, Target: &Target{Identifier: identifier, Service: "s", Sequence: 1}}
}

// follow merges an entry at a time up to which the store was followed without delay.
func follow(view *View, at time.Time, entry Entry) {
	view.SetConfirmedAt(at)
	view.Merge(at, []Entry{entry})
	view.AdvanceTo(entry.Revision)
}

// TestDelayedFirstWriteIsNoLaterStart guards against taking a target that runs for ended after the
// store applied the only write of a target that crashed before, at daemons that learn of both from a
// peer, whenever they ask.
func TestDelayedFirstWriteIsNoLaterStart(t *testing.T) {
	const running, crashed = 1, 2
	for _, delay := range []time.Duration{0, time.Second, 4 * time.Second, maxWriteDelay} {
		view := New(time.Minute)
		follow(view, testStart, firstWrite(1, running))
		applied := testStart.Add(delay)
		follow(view, applied, firstWrite(2, crashed))
		assertUndecided := func(t *testing.T, of *View) {
			t.Helper()
			assert.Assert(t, !of.Target("c").StartedAfter(of.Target("b")), "after a delay of %s", delay)
			assert.Assert(t, !of.Target("b").StartedAfter(of.Target("c")), "after a delay of %s", delay)
		}
		assertUndecided(t, view)
		for elapsed := time.Duration(0); elapsed < 3*time.Minute; elapsed += 500 * time.Millisecond {
			now := applied.Add(elapsed)
			started := New(time.Minute)
			started.Merge(now, view.EntriesSince(now, 0, Held{}))
			assertUndecided(t, started)
			view.Merge(now, started.EntriesSince(now, 0, Held{}))
			assertUndecided(t, view)
		}
	}
}

// TestFirstWriteLearnedLateIsNoLaterStart guards against taking a target that runs for ended if the first
// write of one that crashed before is seen late, since the store could not be followed meanwhile.
func TestFirstWriteLearnedLateIsNoLaterStart(t *testing.T) {
	view := New(time.Minute)
	follow(view, testStart, firstWrite(1, 1))
	view.Merge(testStart.Add(time.Minute), []Entry{firstWrite(2, 2)})
	assert.Assert(t, !view.Target("c").StartedAfter(view.Target("b")))
}

// TestOldNewsOfFirstWriteIsNoLaterStart guards against taking a target that runs for ended because a peer
// sends the first write of one that crashed before, after the store has removed it.
func TestOldNewsOfFirstWriteIsNoLaterStart(t *testing.T) {
	view := New(time.Minute)
	follow(view, testStart, firstWrite(1, 1))
	later := testStart.Add(time.Minute)
	view.AdvanceTo(9)
	view.SetConfirmedAt(later)
	view.Merge(later, []Entry{firstWrite(2, 2)})
	assert.Assert(t, !view.Target("c").StartedAfter(view.Target("b")))
}

// TestLaterFirstWriteIsLaterStart checks that a target counts as started later if its first write was
// made after the other one was seen, also at daemons that learn of both from a peer.
func TestLaterFirstWriteIsLaterStart(t *testing.T) {
	view := New(time.Minute)
	follow(view, testStart, firstWrite(1, 1))
	applied := testStart.Add(maxWriteDelay + propagationMargin + time.Millisecond)
	follow(view, applied, firstWrite(2, 2))
	assert.Assert(t, view.Target("c").StartedAfter(view.Target("b")))
	for _, elapsed := range []time.Duration{0, time.Second, 30 * time.Second, maxSentStartAge - maxWriteDelay - propagationMargin - time.Second} {
		now := applied.Add(elapsed)
		started := New(time.Minute)
		started.Merge(now, view.EntriesSince(now, 0, Held{}))
		assert.Assert(t, started.Target("c").StartedAfter(started.Target("b")), "after %s", elapsed)
	}
}

// TestStartAfterClockStep guards against the incarnation of a target whose clock was set back: it does
// not order starts against the writes.
func TestStartAfterClockStep(t *testing.T) {
	view := New(time.Minute)
	earlier, later := firstWrite(1, 1), firstWrite(2, 2)
	earlier.Target.Incarnation, later.Target.Incarnation = 9, 5
	follow(view, testStart, earlier)
	follow(view, testStart.Add(time.Minute), later)
	assert.Assert(t, view.Target("c").StartedAfter(view.Target("b")))
	assert.Assert(t, !view.Target("b").StartedAfter(view.Target("c")))
}
