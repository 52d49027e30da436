package storeview

import (
	"maps"
	"slices"
	"time"
)

// restoration is the grace period after the store was restored from a backup. The backup lacks the
// latest writes: draining targets are open in it, removed ones are back, and those started since
// are missing. Until writers have had time to write again and unrenewed entries have expired, state
// from earlier epochs is kept where it is newer than the backup.
type restoration struct {
	// span is the length of the grace period, missingSpan how long a live writer's entry may be
	// missing.
	span, missingSpan time.Duration
	// epoch is that of the restored store, enteredAt the revision of its first full list; later
	// changes were made after the restore. until and missingUntil are the ends of the two periods,
	// zero if not running.
	epoch        uint64
	enteredAt    uint64
	until        time.Time
	missingUntil time.Time
}

// begin starts the grace period with the first full list of an epoch. A newly started daemon starts
// it, too, since peers may hold newer state than the backup.
func (r *restoration) begin(now time.Time, revision uint64) {
	if epoch := EpochOf(revision); epoch > r.epoch {
		r.epoch = epoch
		r.enteredAt = revision
		r.until = now.Add(r.span)
		r.missingUntil = now.Add(r.missingSpan)
	}
}

// runs reports whether the grace period is running.
func (r *restoration) runs() bool { return !r.until.IsZero() }

// isBefore reports whether a revision is of an epoch before the restore, while the grace period is
// running.
func (r *restoration) isBefore(revision uint64) bool { return r.runs() && EpochOf(revision) < r.epoch }

// lacks reports whether change before, of an earlier epoch, is later than change copied, which the
// backup contains. Up to the backup, both epochs have the same changes under the same numbers.
func (r *restoration) lacks(before, copied uint64) bool {
	isCopied := EpochOf(copied) == r.epoch && copied <= r.enteredAt
	return r.isBefore(before) && isCopied && NumberOf(before) > NumberOf(copied)
}

// doubt defers an entry of the restored store that conflicts with newer earlier state.
func (r *records[K]) doubt(copied K) {
	key := copied.record().Key
	if held, isHeld := r.doubted[key]; !isHeld || held.record().Revision < copied.record().Revision {
		r.doubted[key] = copied
	}
}

// doubtFirst defers an entry from the first full list of its epoch. Once the restored store is
// completely known up to a revision, what is neither held nor deferred has been removed from it
// since.
func (r *records[K]) doubtFirst(copied K, upTo uint64) {
	if EpochOf(upTo) < EpochOf(copied.record().Revision) {
		r.doubt(copied)
	}
}

// decide drops the deferred entry of a key if it is not newer than revision.
func (r *records[K]) decide(key string, revision uint64) {
	if held, isDoubted := r.doubted[key]; isDoubted && held.record().Revision <= revision {
		delete(r.doubted, key)
	}
}

// contradicts reports whether an entry of an earlier epoch is newer than one from the restored
// store.
func (r *records[K]) contradicts(before, copied K) bool {
	return r.restored.lacks(before.record().Revision, copied.record().Revision) && before.outlives(copied)
}

// removeFromCopy handles a removal from an earlier epoch of a key that the restored store contains.
// It is ignored unless it is later than the backup.
func (r *records[K]) removeFromCopy(copied K, revision uint64, at time.Time, change *Change) {
	if !r.restored.lacks(revision, copied.record().Revision) {
		return
	}
	r.doubt(copied)
	before := copied.copied()
	before.record().Revision, before.record().Written = revision, revision
	r.end(before, revision, at, change)
}

// expiredFromCopy drops the deferred entries that a full list as of a revision lacks, and returns
// their keys.
func (r *records[K]) expiredFromCopy(listed listedKeys, revision uint64) []string {
	var expired []string
	for key, copied := range r.doubted {
		if copied.record().Revision <= revision && !listed.isListedIn(EpochOf(revision), key) {
			expired = append(expired, key)
			delete(r.doubted, key)
		}
	}
	return expired
}

// unconfirmed returns the deferred entries and, for a daemon that polls from a revision of the
// restored store's epoch, also the state kept from earlier epochs.
func (r *records[K]) unconfirmed(now time.Time, revision uint64) []Entry {
	var entries []Entry
	if !r.restored.isBefore(revision) {
		entries = r.told(now, r.recent.before(RevisionIn(r.restored.epoch, 0)))
	}
	for _, key := range slices.Sorted(maps.Keys(r.doubted)) {
		entries = append(entries, entryOf(now, r.doubted[key]))
		if removed, isRemoved := r.removed.byKey[key]; isRemoved {
			entries = append(entries, removed.entry(now, key))
		}
	}
	return entries
}

// endMissing removes entries of earlier epochs that the restored store lacks and nobody has written
// again.
func (r *records[K]) endMissing(now time.Time, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(r.byKey)) {
		held := r.byKey[key]
		_, isDoubted := r.doubted[key]
		if !isDoubted && EpochOf(held.record().Revision) < r.restored.epoch && !held.record().Gone {
			// The removal gets the epoch's first revision, so that a later backup with the entry is
			// older.
			r.end(held, r.restored.enteredAt, now, change)
		}
	}
}

// settle ends the grace period: the content of the restored store replaces earlier state.
func (r *records[K]) settle(now time.Time, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(r.doubted)) {
		r.place(r.doubted[key], change)
	}
	clear(r.doubted)
	r.endMissing(now, change)
}

// Settle ends the grace periods that are over. Everything that the store held at confirmedAt must
// be known: a daemon that was paused or partitioned may otherwise have missed rewritten entries.
func (v *View) Settle(now, confirmedAt time.Time) Change {
	var change Change
	r := v.restored
	if !r.missingUntil.IsZero() && !confirmedAt.Before(r.missingUntil) {
		for _, kind := range v.kinds() {
			kind.endMissing(now, &change)
		}
		r.missingUntil = time.Time{}
	}
	if r.runs() && !confirmedAt.Before(r.until) {
		for _, kind := range v.kinds() {
			kind.settle(now, &change)
		}
		r.until = time.Time{}
	}
	return change
}
