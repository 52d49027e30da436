package storeview

import (
	"maps"
	"slices"
	"time"
)

// restoreGrace is the grace period after the store was restored from a backup. The backup lacks the
// latest writes: draining targets are open in it, removed ones are back, and those started since
// are missing. Until writers have had time to write again and unrenewed entries have expired, state
// from earlier epochs is kept where it is newer than the backup.
type restoreGrace struct {
	// duration is the length of the grace period, missingDuration how long a live writer's entry
	// may be missing.
	duration, missingDuration time.Duration
	// epoch is that of the restored store, startRevision the revision of its first full list; later
	// changes were made after the restore. endsAt and missingEndsAt are the ends of the two
	// periods, zero if not running.
	epoch         uint64
	startRevision uint64
	endsAt        time.Time
	missingEndsAt time.Time
}

// startIfNewEpoch starts the grace period with the first full list of an epoch. A newly started
// daemon starts it, too, since peers may hold newer state than the backup.
func (r *restoreGrace) startIfNewEpoch(now time.Time, revision uint64) {
	if epoch := EpochOf(revision); epoch > r.epoch {
		r.epoch = epoch
		r.startRevision = revision
		r.endsAt = now.Add(r.duration)
		r.missingEndsAt = now.Add(r.missingDuration)
	}
}

// isActive reports whether the grace period is running.
func (r *restoreGrace) isActive() bool { return !r.endsAt.IsZero() }

// isEarlierEpoch reports whether a revision is of an epoch before the restore, while the grace
// period is running.
func (r *restoreGrace) isEarlierEpoch(revision uint64) bool {
	return r.isActive() && EpochOf(revision) < r.epoch
}

// isNewerThanBackup reports whether change earlier, of an earlier epoch, is later than change
// restored, which the backup contains. Up to the backup, both epochs have the same changes under
// the same numbers.
func (r *restoreGrace) isNewerThanBackup(earlier, restored uint64) bool {
	isInBackup := EpochOf(restored) == r.epoch && restored <= r.startRevision
	return r.isEarlierEpoch(earlier) && isInBackup && ChangeNumberOf(earlier) > ChangeNumberOf(restored)
}

// mayBeRestored reports whether the change at a revision may be from the backup from which the store
// was restored.
func (r *restoreGrace) mayBeRestored(revision uint64) bool {
	return EpochOf(revision) > 0 && revision <= r.startRevision
}

// deferEntry defers an entry of the restored store that is older than the state kept from an
// earlier epoch.
func (r *lwwMap[K]) deferEntry(restored K) {
	key := restored.record().Key
	if existing, found := r.deferred[key]; !found || existing.record().Revision < restored.record().Revision {
		r.deferred[key] = restored
	}
}

// deferInitial defers an entry from the first full list of its epoch. Once the restored store is
// completely known up to a revision, what is neither held nor deferred has been removed from it
// since.
func (r *lwwMap[K]) deferInitial(restored K, upTo uint64) {
	if EpochOf(upTo) < EpochOf(restored.record().Revision) {
		r.deferEntry(restored)
	}
}

// dropDeferred drops the deferred entry of a key if it is not newer than revision.
func (r *lwwMap[K]) dropDeferred(key string, revision uint64) {
	if existing, isDeferred := r.deferred[key]; isDeferred && existing.record().Revision <= revision {
		delete(r.deferred, key)
	}
}

// supersedesRestored reports whether an entry of an earlier epoch is newer than one from the
// restored store.
func (r *lwwMap[K]) supersedesRestored(earlier, restored K) bool {
	return r.grace.isNewerThanBackup(earlier.record().Revision, restored.record().Revision) && earlier.supersedes(restored)
}

// removeRestored handles a removal from an earlier epoch of a key that the restored store contains.
// It is ignored unless it is later than the backup.
func (r *lwwMap[K]) removeRestored(restored K, revision uint64, at time.Time, change *Change) {
	if !r.grace.isNewerThanBackup(revision, restored.record().Revision) {
		return
	}
	r.deferEntry(restored)
	earlier := restored.clone()
	earlier.record().Revision, earlier.record().Written = revision, revision
	r.markGone(earlier, revision, at, change)
}

// takeExpiredDeferred drops the deferred entries that a full list as of a revision lacks, and
// returns their keys.
func (r *lwwMap[K]) takeExpiredDeferred(listed listedKeys, revision uint64) []string {
	var expired []string
	for key, restored := range r.deferred {
		if restored.record().Revision <= revision && !listed.isListedIn(EpochOf(revision), key) {
			expired = append(expired, key)
			delete(r.deferred, key)
		}
	}
	return expired
}

// restoreEntries returns the deferred entries and, for a daemon that polls from a revision of the
// restored store's epoch, also the state kept from earlier epochs.
func (r *lwwMap[K]) restoreEntries(now time.Time, revision uint64) []Entry {
	var entries []Entry
	if !r.grace.isEarlierEpoch(revision) {
		entries = r.toEntries(now, r.index.upTo(NewRevision(r.grace.epoch, 0)))
	}
	for _, key := range slices.Sorted(maps.Keys(r.deferred)) {
		entries = append(entries, entryOf(now, r.deferred[key]))
		if removed, isRemoved := r.removed.byKey[key]; isRemoved {
			entries = append(entries, removed.toEntry(now, key))
		}
	}
	return entries
}

// dropMissing removes entries of earlier epochs that the restored store lacks and that were not
// written again.
func (r *lwwMap[K]) dropMissing(now time.Time, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(r.byKey)) {
		existing := r.byKey[key]
		_, isDeferred := r.deferred[key]
		if !isDeferred && EpochOf(existing.record().Revision) < r.grace.epoch && !existing.record().IsRemoved {
			// The removal gets the revision of the epoch's first full list, so that it stays newer
			// than the entry if the store is restored again from an older backup.
			r.markGone(existing, r.grace.startRevision, now, change)
		}
	}
}

// finishRestore ends the grace period: the content of the restored store replaces earlier state.
func (r *lwwMap[K]) finishRestore(now time.Time, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(r.deferred)) {
		restored := r.deferred[key]
		if existing, found := r.byKey[key]; found {
			restored.continueFrom(existing)
		}
		r.put(restored, change)
	}
	clear(r.deferred)
	r.dropMissing(now, change)
}

// EndGracePeriods ends the grace periods that are over. Everything that the store held at
// confirmedAt must be known: a daemon that was paused or partitioned may otherwise have missed
// rewritten entries.
func (v *View) EndGracePeriods(now, confirmedAt time.Time) Change {
	var change Change
	r := v.grace
	if !r.missingEndsAt.IsZero() && !confirmedAt.Before(r.missingEndsAt) {
		for _, kind := range v.kinds() {
			kind.dropMissing(now, &change)
		}
		r.missingEndsAt = time.Time{}
	}
	if r.isActive() && !confirmedAt.Before(r.endsAt) {
		for _, kind := range v.kinds() {
			kind.finishRestore(now, &change)
		}
		r.endsAt = time.Time{}
	}
	return change
}
