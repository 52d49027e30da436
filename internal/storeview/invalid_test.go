package storeview

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func faultEntry(key string, revision uint64) Entry {
	return Entry{Key: key, Revision: revision, Fault: "unreadable"}
}

// An invalid entry removes only the target that was held under its key.
func TestInvalidEntryRemovesTarget(t *testing.T) {
	view := New(time.Minute)
	view.Merge(testStart, []Entry{targetEntry("a", 2), targetEntry("b", 3)})
	change := view.Merge(testStart, []Entry{faultEntry("a", 4)})
	assert.Assert(t, change.Targets)
	present, known := stateOf(view, "a")
	assert.Assert(t, !present && known, "the target must be gone but stay known for its open flows")
	assert.Assert(t, view.Targets()[0].IsInvalid)
	present, _ = stateOf(view, "b")
	assert.Assert(t, present)
	t.Run("a later valid entry restores the target", func(t *testing.T) {
		view.Merge(testStart, []Entry{targetEntry("a", 5)})
		present, _ := stateOf(view, "a")
		assert.Assert(t, present)
		assert.Equal(t, len(view.InvalidEntries()), 0)
	})
	t.Run("an earlier invalid entry is ignored", func(t *testing.T) {
		change := view.Merge(testStart, []Entry{faultEntry("a", 4)})
		assert.Assert(t, change.IsEmpty() && len(change.InvalidEntries) == 0)
	})
}

func TestInvalidEntryIsReportedOnce(t *testing.T) {
	view := New(time.Minute)
	content := []Entry{targetEntry("a", 2), faultEntry("b", 3), faultEntry("c", 4)}
	assert.Equal(t, len(view.MergeSnapshot(testStart, content, 5).InvalidEntries), 2)
	for range 3 {
		change := view.MergeSnapshot(testStart, content, 5)
		assert.Assert(t, change.IsEmpty() && len(change.InvalidEntries) == 0)
	}
	assert.Equal(t, len(view.Merge(testStart, []Entry{faultEntry("b", 9)}).InvalidEntries), 1, "a new revision must be reported again")
	view.MergeSnapshot(testStart, content[:1], 12)
	assert.Equal(t, len(view.InvalidEntries()), 0, "entries that are no longer listed must be dropped")
}

func TestInvalidEntriesAreBounded(t *testing.T) {
	view := New(time.Minute)
	for number := range uint64(maxInvalidEntries + 100) {
		key := "k" + string(rune('a'+number%26)) + time.Duration(number).String()
		view.Merge(testStart, []Entry{targetEntry(key, 2*number+1), faultEntry(key, 2*number+2)})
	}
	assert.Equal(t, len(view.InvalidEntries()), maxInvalidEntries)
	assert.Equal(t, view.PresentTargetCount(), 0)
}

// A daemon that reads the store and a peer that learns from that daemon, in any order, agree on which
// targets are present.
func TestDaemonsAgreeOnInvalidEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, peer := New(time.Minute), New(time.Minute)
		var revision uint64
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			entry := rapid.SampledFrom([]Entry{targetEntry(key, revision), faultEntry(key, revision), removalEntry(key, revision)}).Draw(t, "entry")
			since := reader.Revision()
			reader.Merge(testStart, []Entry{entry})
			reader.AdvanceTo(revision)
			if rapid.Bool().Draw(t, "is synced") {
				entries := reader.EntriesSince(testStart, min(since, peer.Revision()), Held{})
				if rapid.Bool().Draw(t, "is reversed") {
					slices.Reverse(entries)
				}
				peer.Merge(testStart, entries)
				peer.AdvanceTo(revision)
			}
		}
		peer.Merge(testStart, reader.EntriesSince(testStart, peer.Revision(), Held{}))
		for _, key := range []string{"a", "b", "c"} {
			one, _ := stateOf(reader, key)
			other, _ := stateOf(peer, key)
			assert.Equal(t, one, other, key)
		}
	})
}

// TestReasonsOfInvalidEntriesAreBounded guards against reasons that repeat the content of entries in
// logs, memory and messages to peers, also where entries turn invalid again and again.
func TestReasonsOfInvalidEntriesAreBounded(t *testing.T) {
	view := New(time.Minute)
	long := strings.Repeat("ä", 300_000)
	revision := uint64(0)
	for range 3 {
		var entries []Entry
		for number := range 2 * maxInvalidReports {
			revision++
			entries = append(entries, Entry{Key: fmt.Sprint("k", number), Revision: revision, Fault: long})
		}
		change := view.Merge(testStart, entries)
		assert.Equal(t, len(change.InvalidEntries), maxInvalidReports)
		assert.Equal(t, change.OmittedInvalid, maxInvalidReports)
		assert.Assert(t, len(change.InvalidEntries[0]) < 2*maxReasonBytes)
		view.Merge(testStart, []Entry{targetEntry("k0", revision+1)})
		revision++
	}
	for _, entry := range view.EntriesSince(testStart, 0, Held{}) {
		assert.Assert(t, len(entry.Fault) <= maxReasonBytes && utf8.ValidString(entry.Fault))
	}
}
