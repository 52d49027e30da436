package storeview

import "time"

// tombstones holds the removals of keys that are not held, so that older updates cannot resurrect
// them and peers that hold them learn of the removal.
type tombstones struct {
	byKey map[string]tombstone
	// latest is the highest revision ever added, as most polling peers know everything up to it.
	latest uint64
}

type tombstone struct {
	revision uint64
	at       time.Time
}

// entry returns the removal as sent to peers.
func (t tombstone) entry(now time.Time, key string) Entry {
	return Entry{Key: key, Revision: t.revision, Age: max(0, now.Sub(t.at))}
}

func newTombstones() *tombstones { return &tombstones{byKey: map[string]tombstone{}} }

// revisionOf returns the revision of a key's removal, 0 if none is known.
func (t *tombstones) revisionOf(key string) uint64 { return t.byKey[key].revision }

func (t *tombstones) add(key string, revision uint64, at time.Time) {
	if revision > t.revisionOf(key) {
		t.byKey[key] = tombstone{revision: revision, at: at}
		t.latest = max(t.latest, revision)
	}
}

func (t *tombstones) lift(key string) { delete(t.byKey, key) }

// since returns the removals with a higher revision, unordered. For revision 0 it returns none,
// since a full list implies them.
func (t *tombstones) since(now time.Time, revision uint64) []Entry {
	if revision == 0 || t.latest <= revision {
		return nil
	}
	var entries []Entry
	for key, removed := range t.byKey {
		if removed.revision > revision {
			entries = append(entries, removed.entry(now, key))
		}
	}
	return entries
}

// expire drops removals that were learned at least the retention period ago and returns the highest
// revision among them.
func (t *tombstones) expire(now time.Time, retention time.Duration) (forgotten uint64) {
	for key, removed := range t.byKey {
		if now.Sub(removed.at) >= retention {
			forgotten = max(forgotten, removed.revision)
			delete(t.byKey, key)
		}
	}
	return forgotten
}
