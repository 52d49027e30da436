package storeview

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is the metadata of a known entry.
type Record struct {
	// Key and Revision are the store's.
	Key      string
	Revision uint64
	// Written is the revision of the latest write; once the entry is removed, Revision is later.
	Written uint64
	// Gone reports that the store no longer holds the entry, Refused that it holds an invalid one
	// under the key.
	Gone    bool
	Refused bool
	// LearnedAt is when the daemon that first read this state from the store did so.
	LearnedAt time.Time
}

func (r *Record) record() *Record { return r }

// known is the latest known state of an entry.
type known interface {
	record() *Record
	// identity identifies what the entry describes; it may change under one key.
	identity() uint64
	// state returns the entry's state for log messages.
	state() string
	// described returns the entry as sent to another daemon now, without the fields of its record.
	described(now time.Time) Entry
	// note adds the changed entry to a change; hasNewState reports whether its state differs, too.
	note(change *Change, hasNewState bool)
}

// keepable is a known entry of type K. Held entries are immutable, since others read them
// concurrently; changes are made to a copy.
type keepable[K any] interface {
	known
	comparable
	copied() K
	// outlives reports whether the entry is newer than copied, an entry with its key from a backup
	// of the store: a draining target, for instance, does not become open again in the same
	// incarnation.
	outlives(copied K) bool
}

// records is a last-writer-wins map of the entries of one kind. Removed entries are kept for the
// retention period, since peers need their removal and open flows may still use them.
type records[K keepable[K]] struct {
	removed  *tombstones
	restored *restoration
	// doubted holds entries of a restored store that conflict with newer earlier state.
	doubted map[string]K
	byKey   map[string]K
	// gone holds the keys of removed entries, so that expiry needs no full scan.
	gone map[string]bool
	// recent indexes the entries by revision.
	recent recentEntries[K]
}

func newRecords[K keepable[K]](removed *tombstones, restored *restoration) *records[K] {
	return &records[K]{
		removed: removed, restored: restored,
		doubted: map[string]K{}, byKey: map[string]K{}, gone: map[string]bool{},
	}
}

// present returns the number of entries that are not removed.
func (r *records[K]) present() int { return len(r.byKey) - len(r.gone) }

// sorted returns all entries by key, including removed ones.
func (r *records[K]) sorted() []K {
	all := make([]K, 0, len(r.byKey))
	for _, held := range r.byKey {
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b K) int { return cmp.Compare(a.record().Key, b.record().Key) })
	return all
}

// merge merges an entry. An entry that is not held and whose revision is at most upTo, up to which
// everything is known, has been removed since.
func (r *records[K]) merge(learned K, upTo uint64, change *Change) {
	record := learned.record()
	if record.Revision <= r.removed.revisionOf(record.Key) {
		return
	}
	held, isHeld := r.byKey[record.Key]
	switch {
	case !isHeld && r.restored.lacks(r.removed.revisionOf(record.Key), record.Revision):
		r.doubtFirst(learned, upTo)
		return
	case isHeld && record.Revision <= held.record().Revision:
		if !r.contradicts(learned, held) {
			return
		}
		r.doubt(held)
	case isHeld && r.contradicts(held, learned):
		r.doubtFirst(learned, upTo)
		return
	default:
		r.decide(record.Key, record.Revision)
	}
	record.Gone = record.Revision <= upTo && r.wasAbsent(record, upTo)
	if record.Gone {
		// Peers that hold the entry must see its removal as newer.
		record.Revision = upTo
	}
	r.place(learned, change)
}

// wasAbsent reports whether the complete state known up to revision upTo lacks the entry's key in
// the entry's epoch.
func (r *records[K]) wasAbsent(learned *Record, upTo uint64) bool {
	held, isHeld := r.byKey[learned.Key]
	if !isHeld {
		return !r.restored.isBefore(learned.Revision)
	}
	epoch := EpochOf(learned.Revision)
	return EpochOf(held.record().Revision) < epoch && epoch == EpochOf(upTo)
}

// place stores an entry under its key, replacing the previous one.
func (r *records[K]) place(learned K, change *Change) {
	record := learned.record()
	held, isHeld := r.byKey[record.Key]
	r.byKey[record.Key] = learned
	delete(r.gone, record.Key)
	if record.Gone {
		r.gone[record.Key] = true
	}
	r.removed.lift(record.Key)
	r.note(learned)
	if isHeld && held.identity() != learned.identity() {
		held.note(change, false)
	}
	learned.note(change, !isHeld || held.state() != learned.state())
}

// remove handles a removal and reports whether the key is held here.
func (r *records[K]) remove(key string, revision uint64, at time.Time, change *Change) bool {
	r.decide(key, revision)
	held, isHeld := r.byKey[key]
	switch {
	case !isHeld:
	case revision > held.record().Revision:
		r.end(held, revision, at, change)
	default:
		r.removeFromCopy(held, revision, at, change)
	}
	return isHeld
}

// refuse handles an invalid entry under a key.
func (r *records[K]) refuse(key string, revision uint64, at time.Time, change *Change) {
	held, isHeld := r.byKey[key]
	if !isHeld {
		return
	}
	r.decide(key, revision)
	isNews := held.record().Gone && !held.record().Refused
	refused := held.copied()
	refused.record().Refused = true
	ended := r.end(refused, revision, at, change)
	if isNews {
		ended.note(change, false)
	}
}

// isLater reports whether a newer state of the key is held than that of a revision. An entry
// written at that very revision counts as newer, as the removal may be a peer's report of an
// invalid entry.
func (r *records[K]) isLater(key string, revision uint64) bool {
	held, isHeld := r.byKey[key]
	return isHeld && (held.record().Revision > revision || held.record().Written >= revision)
}

// conclude removes entries that a full list as of a revision lacks. The removals get the list's
// revision, so that a later write counts as newer.
func (r *records[K]) conclude(listed listedKeys, revision uint64, at time.Time, change *Change) {
	missing := r.expiredFromCopy(listed, revision)
	for key, held := range r.byKey {
		isMissing := !listed.isListedIn(EpochOf(revision), key) && held.record().Revision <= revision
		if isMissing && !r.restored.isBefore(held.record().Revision) {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing) // in a fixed order, for seeded runs
	for _, key := range missing {
		if held, isHeld := r.byKey[key]; isHeld {
			r.end(held, revision, at, change)
		} else {
			r.removed.add(key, revision, at)
		}
	}
}

// end marks an entry as removed and returns the copy that is now held.
func (r *records[K]) end(held K, revision uint64, at time.Time, change *Change) K {
	ended := held.copied()
	record := ended.record()
	wasGone := record.Gone
	record.Revision = max(record.Revision, revision)
	if !wasGone {
		record.Gone = true
		record.LearnedAt = at
		r.gone[record.Key] = true
	}
	r.byKey[record.Key] = ended
	r.note(ended)
	if !wasGone {
		ended.note(change, true)
	}
	return ended
}

// note adds an entry with a new revision to the index.
func (r *records[K]) note(entry K) {
	r.recent.add(entry.record().Revision, entry)
	if r.recent.isWasteful(len(r.byKey)) {
		r.recent.rebuild(r.byKey)
	}
}

// expire drops entries that were removed at least the retention period ago and returns the highest
// revision among them.
func (r *records[K]) expire(now time.Time, retention time.Duration, change *Change) (forgotten uint64) {
	for _, key := range slices.Sorted(maps.Keys(r.gone)) {
		held := r.byKey[key]
		record := held.record()
		if now.Sub(record.LearnedAt) < retention {
			continue
		}
		delete(r.byKey, key)
		delete(r.gone, key)
		r.removed.add(key, record.Revision, now)
		forgotten = max(forgotten, record.Revision)
		held.note(change, false)
	}
	return forgotten
}

// since returns the entries with a higher revision, oldest first.
func (r *records[K]) since(now time.Time, revision uint64) []Entry {
	return r.told(now, r.recent.after(revision))
}

// told returns index items as entries for peers. A removed entry is sent as last written and then
// as removed, so that peers know what its open flows use.
func (r *records[K]) told(now time.Time, places []listedEntry[K]) []Entry {
	var entries []Entry
	for _, listed := range places {
		held := listed.entry
		record := held.record()
		if record.Revision != listed.revision || r.byKey[record.Key] != held {
			continue // stale: a later item holds the current state
		}
		entry := entryOf(now, held)
		if record.Gone {
			removal := Entry{Key: entry.Key, Revision: entry.Revision, Age: entry.Age}
			entry.Revision = record.Written
			entries = append(entries, entry, removal)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

// entryOf returns a known entry as sent to peers.
func entryOf[K keepable[K]](now time.Time, held K) Entry {
	record := held.record()
	entry := held.described(now)
	entry.Key, entry.Revision, entry.Age = record.Key, record.Revision, max(0, now.Sub(record.LearnedAt))
	return entry
}
