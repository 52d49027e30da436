package storeview

import "time"

// tombstones holds the removals of keys that are not held, so that older updates cannot resurrect
// them and peers that hold them learn of the removal.
type tombstones struct {
	byKey map[string]tombstone
	// maxRevision is the highest revision ever added. Most polling peers know everything up to it;
	// for them since needs no scan.
	maxRevision uint64
}

type tombstone struct {
	revision  uint64
	learnedAt time.Time
}

// toEntry returns the removal as sent to peers.
func (t tombstone) toEntry(now time.Time, key string) Entry {
	return Entry{Key: key, Revision: t.revision, Age: max(0, now.Sub(t.learnedAt))}
}

func newTombstones() *tombstones { return &tombstones{byKey: map[string]tombstone{}} }

// revisionOf returns the revision of a key's removal, 0 if none is known.
func (t *tombstones) revisionOf(key string) uint64 { return t.byKey[key].revision }

func (t *tombstones) add(key string, revision uint64, learnedAt time.Time) {
	if revision > t.revisionOf(key) {
		t.byKey[key] = tombstone{revision: revision, learnedAt: learnedAt}
		t.maxRevision = max(t.maxRevision, revision)
	}
}

func (t *tombstones) remove(key string) { delete(t.byKey, key) }

// since returns the removals with a higher revision, unordered. For revision 0 it returns none,
// since a full list implies them.
func (t *tombstones) since(now time.Time, revision uint64) []Entry {
	if revision == 0 || t.maxRevision <= revision {
		return nil
	}
	var entries []Entry
	for key, removed := range t.byKey {
		if removed.revision > revision {
			entries = append(entries, removed.toEntry(now, key))
		}
	}
	return entries
}

// expire drops removals that were learned at least the retention period ago and returns the highest
// revision among them.
func (t *tombstones) expire(now time.Time, retention time.Duration) (compacted uint64) {
	for key, removed := range t.byKey {
		if now.Sub(removed.learnedAt) >= retention {
			compacted = max(compacted, removed.revision)
			delete(t.byKey, key)
		}
	}
	return compacted
}
