package storeview

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxInvalidEntries bounds the invalid entries that are remembered. Further ones are rejected as
	// well, but neither listed nor sent to peers as invalid.
	maxInvalidEntries = 1024
	// maxReasonBytes bounds the reason why an entry is invalid, which may quote its content.
	maxReasonBytes = 256
	// maxInvalidReports bounds the invalid entries reported by one change.
	maxInvalidReports = 20
)

// shortened returns a text without what exceeds a length in bytes.
func shortened(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const mark = "..."
	return strings.ToValidUTF8(text[:limit-len(mark)], "") + mark
}

// InvalidEntry describes an entry of the store that was rejected as invalid.
type InvalidEntry struct {
	// Key and Revision are the store's.
	Key      string
	Revision uint64
	// Reason is why the entry is invalid.
	Reason    string
	LearnedAt time.Time
}

// invalidEntries holds the invalid entries by key. An invalid entry may stay in the store
// indefinitely, so that it must not cause work each time it is listed.
type invalidEntries map[string]InvalidEntry

// add remembers an invalid entry; it reports false if it, or a later one, is already known.
func (r invalidEntries) add(entry *Entry, reason string, at time.Time) bool {
	existing, found := r[entry.Key]
	if found && entry.Revision <= existing.Revision {
		return false
	}
	if found || len(r) < maxInvalidEntries {
		r[entry.Key] = InvalidEntry{Key: entry.Key, Revision: entry.Revision, Reason: reason, LearnedAt: at}
	}
	return true
}

// dropOlder forgets an invalid entry once its key has a later entry or removal.
func (r invalidEntries) dropOlder(key string, revision uint64) {
	if existing, found := r[key]; found && revision > existing.Revision {
		delete(r, key)
	}
}

// dropUnlisted forgets invalid entries that a full list as of a revision lacks.
func (r invalidEntries) dropUnlisted(listed listedKeys, revision uint64) {
	for key, entry := range r {
		if !listed.isListedIn(EpochOf(revision), key) && entry.Revision <= revision {
			delete(r, key)
		}
	}
}

func (r invalidEntries) sorted() []InvalidEntry {
	all := make([]InvalidEntry, 0, len(r))
	for _, entry := range r {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b InvalidEntry) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// since returns the invalid entries with a higher revision, unordered.
func (r invalidEntries) since(now time.Time, revision uint64) []Entry {
	var entries []Entry
	for _, entry := range r {
		if entry.Revision > revision {
			entries = append(entries, Entry{
				Key: entry.Key, Revision: entry.Revision, Fault: entry.Reason, Age: max(0, now.Sub(entry.LearnedAt)),
			})
		}
	}
	return entries
}
