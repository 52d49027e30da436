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
	// IsRemoved reports that the store no longer holds the entry, IsInvalid that it holds an
	// invalid one under the key.
	IsRemoved bool
	IsInvalid bool
	// LearnedAt is when the daemon that first read this state from the store did so.
	LearnedAt time.Time
}

func (r *Record) record() *Record { return r }

// knownEntry is the latest known state of an entry.
type knownEntry interface {
	record() *Record
	// identity identifies what the entry describes; it may change under one key.
	identity() uint64
	// state returns the entry's state for log messages.
	state() string
	// toEntry returns the entry as sent to another daemon now, without the fields of its record.
	toEntry(now time.Time) Entry
	// addTo adds the changed entry to a change; hasNewState reports whether its state differs, too.
	addTo(change *Change, hasNewState bool)
}

// mergeable is a known entry of type K. Held entries are immutable, since others read them
// concurrently; changes are made to a copy.
type mergeable[K any] interface {
	knownEntry
	comparable
	clone() K
	// supersedes reports whether the entry is newer than other, an entry with its key from a backup
	// of the store: a draining target, for instance, does not become open again in the same
	// incarnation.
	supersedes(other K) bool
	// continueFrom takes over what is known from an earlier state of the same key. It is called
	// before the entry is held.
	continueFrom(earlier K)
	// markLeaving records that the entry's removal was learned at a time, while everything that the
	// store held at confirmedAt was known. It is called before the entry is held.
	markLeaving(at, confirmedAt time.Time)
	// absorb returns the entry with what an older or equal state of its key adds; isChanged is false
	// if that is nothing.
	absorb(other K) (joined K, isChanged bool)
}

// lwwMap is a last-writer-wins map of the entries of one kind. Removed entries are kept for the
// retention period, since peers need their removal and open flows may still use them.
type lwwMap[K mergeable[K]] struct {
	removed      *tombstones
	grace        *restoreGrace
	confirmation *confirmation
	// deferred holds entries of a restored store that are older than the state kept from an earlier
	// epoch.
	deferred map[string]K
	byKey    map[string]K
	// gone holds the keys of removed entries, so that expiry needs no full scan.
	gone map[string]bool
	// index indexes the entries by revision.
	index revisionIndex[K]
}

func newLWWMap[K mergeable[K]](removed *tombstones, grace *restoreGrace, confirmation *confirmation) *lwwMap[K] {
	return &lwwMap[K]{
		removed: removed, grace: grace, confirmation: confirmation,
		deferred: map[string]K{}, byKey: map[string]K{}, gone: map[string]bool{},
	}
}

// present returns the number of entries that are not removed.
func (r *lwwMap[K]) present() int { return len(r.byKey) - len(r.gone) }

// sorted returns all entries by key, including removed ones.
func (r *lwwMap[K]) sorted() []K {
	all := make([]K, 0, len(r.byKey))
	for _, entry := range r.byKey {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b K) int { return cmp.Compare(a.record().Key, b.record().Key) })
	return all
}

// merge merges an entry. An entry that is not held and whose revision is at most upTo, up to which
// everything is known, has been removed since.
func (r *lwwMap[K]) merge(learned K, upTo uint64, change *Change) {
	record := learned.record()
	if record.Revision <= r.removed.revisionOf(record.Key) {
		return
	}
	existing, found := r.byKey[record.Key]
	switch {
	case !found && r.grace.isNewerThanBackup(r.removed.revisionOf(record.Key), record.Revision):
		r.deferInitial(learned, upTo)
		return
	case found && record.Revision <= existing.record().Revision:
		if !r.supersedesRestored(learned, existing) {
			r.absorb(existing, learned, change)
			return
		}
		r.deferEntry(existing)
	case found && r.supersedesRestored(existing, learned):
		r.deferInitial(learned, upTo)
		return
	default:
		r.dropDeferred(record.Key, record.Revision)
	}
	if found {
		learned.continueFrom(existing)
	}
	if record.Revision <= upTo && r.wasAbsent(record, upTo) {
		record.IsRemoved = true
		// Peers that hold the entry must see its removal as newer.
		record.Revision = upTo
		learned.markLeaving(record.LearnedAt, r.confirmation.at)
	}
	r.put(learned, change)
}

// absorb adds to a held entry what an older or equal state of its key tells.
func (r *lwwMap[K]) absorb(existing, other K, change *Change) {
	joined, isChanged := existing.absorb(other)
	if !isChanged {
		return
	}
	r.byKey[joined.record().Key] = joined
	r.addToIndex(joined)
	joined.addTo(change, joined.state() != existing.state())
}

// wasAbsent reports whether the complete state known up to revision upTo lacks the entry's key in
// the entry's epoch.
func (r *lwwMap[K]) wasAbsent(learned *Record, upTo uint64) bool {
	existing, found := r.byKey[learned.Key]
	if !found {
		return !r.grace.isEarlierEpoch(learned.Revision)
	}
	epoch := EpochOf(learned.Revision)
	return EpochOf(existing.record().Revision) < epoch && epoch == EpochOf(upTo)
}

// put stores an entry under its key, replacing the previous one.
func (r *lwwMap[K]) put(learned K, change *Change) {
	record := learned.record()
	existing, found := r.byKey[record.Key]
	r.byKey[record.Key] = learned
	delete(r.gone, record.Key)
	if record.IsRemoved {
		r.gone[record.Key] = true
	}
	r.removed.remove(record.Key)
	r.addToIndex(learned)
	if found && existing.identity() != learned.identity() {
		existing.addTo(change, false)
	}
	learned.addTo(change, !found || existing.state() != learned.state())
}

// remove handles a removal and reports whether the key is held here.
func (r *lwwMap[K]) remove(key string, revision uint64, at time.Time, change *Change) bool {
	r.dropDeferred(key, revision)
	existing, found := r.byKey[key]
	switch {
	case !found:
	case revision > existing.record().Revision:
		r.markGone(existing, revision, at, change)
	default:
		r.removeRestored(existing, revision, at, change)
	}
	return found
}

// markInvalid handles an invalid entry under a key.
func (r *lwwMap[K]) markInvalid(key string, revision uint64, at time.Time, change *Change) {
	existing, found := r.byKey[key]
	if !found {
		return
	}
	r.dropDeferred(key, revision)
	isNewlyInvalid := existing.record().IsRemoved && !existing.record().IsInvalid
	invalid := existing.clone()
	invalid.record().IsInvalid = true
	ended := r.markGone(invalid, revision, at, change)
	if isNewlyInvalid {
		ended.addTo(change, false)
	}
}

// hasNewer reports whether the state of the key at a revision is held already, or a newer one. A
// removal at that very revision does not count: a peer that rejected the invalid entry written at
// that revision reports it as a removal.
func (r *lwwMap[K]) hasNewer(key string, revision uint64) bool {
	existing, found := r.byKey[key]
	return found && (existing.record().Revision > revision || existing.record().Written >= revision)
}

// dropUnlisted removes entries that a full list as of a revision lacks. The removals get the list's
// revision, so that a later write counts as newer.
func (r *lwwMap[K]) dropUnlisted(listed listedKeys, revision uint64, at time.Time, change *Change) {
	missing := r.takeExpiredDeferred(listed, revision)
	for key, existing := range r.byKey {
		isMissing := !listed.isListedIn(EpochOf(revision), key) && existing.record().Revision <= revision
		if isMissing && !r.grace.isEarlierEpoch(existing.record().Revision) {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing) // deterministic order for seeded runs
	for _, key := range missing {
		if existing, found := r.byKey[key]; found {
			r.markGone(existing, revision, at, change)
		} else {
			r.removed.add(key, revision, at)
		}
	}
}

// markGone marks an entry as removed and returns the copy that is now held.
func (r *lwwMap[K]) markGone(existing K, revision uint64, at time.Time, change *Change) K {
	ended := existing.clone()
	record := ended.record()
	wasGone := record.IsRemoved
	record.Revision = max(record.Revision, revision)
	if !wasGone {
		record.IsRemoved = true
		record.LearnedAt = at
		ended.markLeaving(at, r.confirmation.at)
		r.gone[record.Key] = true
	}
	r.byKey[record.Key] = ended
	r.addToIndex(ended)
	if !wasGone {
		ended.addTo(change, true)
	}
	return ended
}

// addToIndex adds an entry with a new revision to the index.
func (r *lwwMap[K]) addToIndex(entry K) {
	r.index.add(entry.record().Revision, entry)
	if r.index.needsRebuild(len(r.byKey)) {
		r.index.rebuild(r.byKey)
	}
}

// expire drops entries that were removed at least the retention period ago and returns the highest
// revision among them.
func (r *lwwMap[K]) expire(now time.Time, retention time.Duration, change *Change) (compacted uint64) {
	for _, key := range slices.Sorted(maps.Keys(r.gone)) {
		existing := r.byKey[key]
		record := existing.record()
		if now.Sub(record.LearnedAt) < retention {
			continue
		}
		delete(r.byKey, key)
		delete(r.gone, key)
		r.removed.add(key, record.Revision, now)
		compacted = max(compacted, record.Revision)
		existing.addTo(change, false)
	}
	return compacted
}

// since returns the entries with a higher revision, oldest first.
func (r *lwwMap[K]) since(now time.Time, revision uint64) []Entry {
	return r.toEntries(now, r.index.after(revision))
}

// toEntries returns index items as entries for peers. A removed entry is sent as last written and
// then as removed, so that peers know what its open flows use.
func (r *lwwMap[K]) toEntries(now time.Time, items []indexItem[K]) []Entry {
	var entries []Entry
	for _, item := range items {
		known := item.entry
		record := known.record()
		if record.Revision != item.revision || r.byKey[record.Key] != known {
			continue // stale: a later item holds the current state
		}
		entry := entryOf(now, known)
		if record.IsRemoved {
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
func entryOf[K mergeable[K]](now time.Time, known K) Entry {
	record := known.record()
	entry := known.toEntry(now)
	entry.Key, entry.Revision, entry.Age = record.Key, record.Revision, max(0, now.Sub(record.LearnedAt))
	return entry
}
