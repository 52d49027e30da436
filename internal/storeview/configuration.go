package storeview

import (
	"fmt"
	"time"
)

// configurationState holds the active configuration and its latest deltas. Unlike other entries it
// is never removed: the last valid version stays active.
type configurationState struct {
	current   *Configuration
	key       string
	revision  uint64
	learnedAt time.Time
	history   history
}

// isNewer reports whether a version written at a revision supersedes the active one. Version
// numbers never decrease, even if a restored store has an earlier version under a later revision.
func (v *configurationState) isNewer(version, revision uint64) bool {
	if v.current == nil || version == v.current.Version {
		return revision > v.revision
	}
	return version > v.current.Version
}

// merge activates the entry's configuration if it is newer.
func (v *configurationState) merge(learned time.Time, entry *Entry, change *Change) {
	if !v.isNewer(entry.Configuration.Version, entry.Revision) {
		v.rejectOlder(entry, entry.Configuration.Version, change)
		return
	}
	var difference *Difference
	if v.current != nil {
		difference = newDifference(v.current, v.revision, entry.Configuration)
	}
	v.install(learned, entry, entry.Configuration, difference, change)
}

// mergeDifference activates a newer version that was sent as a delta; if its base is not the
// version held here, it only sets LacksBase.
func (v *configurationState) mergeDifference(learned time.Time, entry *Entry, change *Change) {
	if !v.isNewer(entry.Difference.Version, entry.Revision) {
		v.rejectOlder(entry, entry.Difference.Version, change)
		return
	}
	var next *Configuration
	if v.current != nil && v.mayBeBase(entry.Difference.Base) {
		next = entry.Difference.apply(v.current)
	}
	if next == nil {
		change.LacksBase = true
		return
	}
	v.install(learned, entry, next, entry.Difference, change)
}

// rejectOlder reports a later write with an earlier version than the active one.
func (v *configurationState) rejectOlder(entry *Entry, version uint64, change *Change) {
	if entry.Revision > v.revision {
		change.addInvalid(fmt.Sprintf("%s: version %d is older than the active version %d", entry.Key, version, v.current.Version))
	}
}

// mayBeBase reports whether the active version may be the one of a revision. A restored store lists
// it again under a revision of its new epoch, which peers may not know; the fingerprint of the
// result decides.
func (v *configurationState) mayBeBase(revision uint64) bool {
	return revision == v.revision || EpochOf(revision) != EpochOf(v.revision)
}

func (v *configurationState) install(learned time.Time, entry *Entry, next *Configuration, difference *Difference, change *Change) {
	v.current = next
	v.key = entry.Key
	v.revision = entry.Revision
	v.learnedAt = learned
	v.history.add(difference, entry.Revision)
	change.Configuration = true
}

// Held identifies the configuration that a polling daemon holds; Version is 0 if it has none or
// does not report it.
type Held struct{ Revision, Version uint64 }

// since returns what a peer lacks that knows everything up to a revision and holds the given
// configuration: deltas if the history covers them, otherwise the full configuration. A later
// version is sent whatever its revision, since a restored store may list an earlier one under a
// later revision.
func (v *configurationState) since(now time.Time, revision uint64, held Held) []Entry {
	if v.current == nil || v.revision == held.Revision {
		return nil
	}
	isLaterVersion := held.Version > 0 && v.current.Version > held.Version
	if v.revision <= revision && !isLaterVersion {
		return nil
	}
	if entries, found := v.differencesSince(now, held.Revision); found && revision > 0 {
		return entries
	}
	return []Entry{{Key: v.key, Revision: v.revision, Configuration: v.current, Age: now.Sub(v.learnedAt)}}
}

// differencesSince returns the deltas from the version of a revision to the active one; found is
// false if they are not known.
func (v *configurationState) differencesSince(now time.Time, revision uint64) (entries []Entry, found bool) {
	steps, found := v.history.since(revision)
	for _, step := range steps {
		entries = append(entries, Entry{
			Key: v.key, Revision: step.revision, Difference: step.difference, Age: now.Sub(v.learnedAt),
		})
	}
	return entries, found
}
