package environment

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// History is the change log of a store. It can be restored to an earlier state, as from a backup.
// It is not safe for concurrent use.
type History struct {
	changes  []change
	revision uint64
	// epoch is the number of restores, restoredAt the revision of the last restored backup.
	epoch      uint64
	restoredAt uint64
}

type change struct {
	entry storeview.Entry
	at    time.Time
}

// Revision returns the revision of the last change.
func (h *History) Revision() uint64 { return h.revision }

// Epoch returns the number of restores.
func (h *History) Epoch() uint64 { return h.epoch }

// Write appends a change, assigns its revision and returns it. An entry without content is a
// removal.
func (h *History) Write(entry storeview.Entry, at time.Time) uint64 {
	h.revision++
	entry.Revision = h.revision
	entry.Created = h.createdAt(&entry)
	h.changes = append(h.changes, change{entry: entry, at: at})
	return h.revision
}

// createdAt returns the revision at which the item of an entry was created, 0 for a removal.
func (h *History) createdAt(entry *storeview.Entry) uint64 {
	if entry.IsRemoval() {
		return 0
	}
	for index := len(h.changes) - 1; index >= 0; index-- {
		previous := &h.changes[index].entry
		if previous.Key != entry.Key {
			continue
		}
		if previous.IsRemoval() {
			break
		}
		return previous.Created
	}
	return entry.Revision
}

// ChangesAfter returns the changes after a revision, in order.
func (h *History) ChangesAfter(revision uint64) []storeview.Entry {
	start := len(h.changes)
	for start > 0 && h.changes[start-1].entry.Revision > revision {
		start--
	}
	var entries []storeview.Entry
	for _, c := range h.changes[start:] {
		entries = append(entries, c.entry)
	}
	return entries
}

// Content returns the entries at a revision, ordered by key.
func (h *History) Content(revision uint64) []storeview.Entry {
	latest := map[string]storeview.Entry{}
	for _, c := range h.changes {
		if c.entry.Revision > revision {
			break
		}
		latest[c.entry.Key] = c.entry
		if c.entry.IsRemoval() {
			delete(latest, c.entry.Key)
		}
	}
	entries := make([]storeview.Entry, 0, len(latest))
	for _, entry := range latest {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, byKey)
	return entries
}

// RevisionAt returns the revision of the last change made at or before a time, 0 if there is none.
func (h *History) RevisionAt(at time.Time) uint64 {
	for index := len(h.changes) - 1; index >= 0; index-- {
		if !h.changes[index].at.After(at) {
			return h.changes[index].entry.Revision
		}
	}
	return 0
}

// Restore restores the state at a time. Later changes are lost, their revisions are reused, and the
// epoch is incremented. It returns the entries that writers have to write again, ordered by key;
// they include removals of the entries that the restore resurrected.
func (h *History) Restore(to time.Time) []storeview.Entry {
	before := h.Content(h.revision)
	h.revision = h.RevisionAt(to)
	h.changes = slices.DeleteFunc(h.changes, func(c change) bool { return c.entry.Revision > h.revision })
	h.epoch++
	h.restoredAt = h.revision
	return lostChanges(before, h.Content(h.revision))
}

// lostChanges returns the changes from a backup's content to the current one, ordered by key.
func lostChanges(current, backup []storeview.Entry) []storeview.Entry {
	inBackup := map[string]storeview.Entry{}
	for _, entry := range backup {
		inBackup[entry.Key] = entry
	}
	var lost []storeview.Entry
	for _, entry := range current {
		if old, wasPresent := inBackup[entry.Key]; !wasPresent || !reflect.DeepEqual(old, entry) {
			lost = append(lost, entry)
		}
		delete(inBackup, entry.Key)
	}
	for key := range inBackup {
		lost = append(lost, storeview.Entry{Key: key})
	}
	slices.SortFunc(lost, byKey)
	return lost
}

func byKey(a, b storeview.Entry) int { return cmp.Compare(a.Key, b.Key) }

// IsRewritten reports whether an entry was written or removed since the last restore.
func (h *History) IsRewritten(key string) bool {
	return slices.ContainsFunc(h.ChangesAfter(h.restoredAt), func(entry storeview.Entry) bool { return entry.Key == key })
}
