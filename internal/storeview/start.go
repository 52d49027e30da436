package storeview

import (
	"cmp"
	"time"
)

// maxWriteDelay is how long the store may take to apply a write. The writer may have crashed by
// then, and another target may run at its address.
const maxWriteDelay = 6 * time.Second

// ageTolerance is the difference of ages from two peers that counts as none.
const ageTolerance = 200 * time.Millisecond

// Start is what is known of the start of a target's incarnation. It does not change with later
// writes of its entry, so that a delayed write does not make a target look younger than it is.
type Start struct {
	// Revision is the earliest known revision of its entry. The target started before that.
	Revision uint64
	// IsFirstWrite reports that the target's first write has that revision. If not, the target may
	// have started long before.
	IsFirstWrite bool
	// SettledAt is maxWriteDelay after the entry was first seen. A target at its address whose first
	// write is seen from then on started later, even if that write was delayed. The zero time means
	// long ago.
	SettledAt time.Time
}

// newStart returns what an entry tells about the start of its target. mayBeRestored reports that
// the entry may be from a backup of the store.
func newStart(now time.Time, entry *Entry, mayBeRestored bool) Start {
	start := Start{Revision: cmp.Or(entry.Created, entry.Revision)}
	if history := entry.History; history != nil {
		start.IsFirstWrite = history.IsFirstWrite
		if history.Unsettled > 0 {
			start.SettledAt = now.Add(history.Unsettled)
		}
		return start
	}
	// An entry with a later sequence number existed before and expired, or its first write is delayed.
	// Peers of earlier versions send no history.
	isFromStore := entry.Age == 0 && !mayBeRestored
	start.IsFirstWrite = isFromStore && start.Revision == entry.Revision && entry.Target.Sequence <= 1
	start.SettledAt = now.Add(maxWriteDelay)
	return start
}

// join returns what two sources together tell about a start.
func (s Start) join(other Start) Start {
	joined := s
	switch {
	case other.Revision < s.Revision:
		joined.Revision, joined.IsFirstWrite = other.Revision, other.IsFirstWrite
	case other.Revision == s.Revision:
		joined.IsFirstWrite = s.IsFirstWrite || other.IsFirstWrite
	}
	if other.SettledAt.Before(s.SettledAt) {
		joined.SettledAt = other.SettledAt
	}
	return joined
}

// restartAt corrects the start of an incarnation that replaced another one under its key, whose last
// write has the revision earlier: the item was created before the incarnation started.
func (s *Start) restartAt(earlier, written uint64) {
	if s.Revision <= earlier {
		s.Revision = written
	}
}

// improves reports whether a start tells more than another one. Times of peers differ slightly,
// which is not reported.
func (s Start) improves(other Start) bool {
	return s.Revision < other.Revision || s.IsFirstWrite && !other.IsFirstWrite && s.Revision == other.Revision ||
		other.SettledAt.Sub(s.SettledAt) > ageTolerance
}

// unsettled returns how long it takes until the start is settled.
func (s Start) unsettled(now time.Time) time.Duration { return max(0, s.SettledAt.Sub(now)) }

// precedesFirstWriteOf reports whether the entry was first seen so long before that of other that
// the write of other was made later, even if it was delayed.
func (s Start) precedesFirstWriteOf(other Start) bool {
	if other.SettledAt.IsZero() {
		return s.SettledAt.IsZero()
	}
	otherFirstSeen := other.SettledAt.Add(-maxWriteDelay)
	return !otherFirstSeen.Before(s.SettledAt)
}

// StartedAfter reports whether the target certainly started after another one at its address.
// Neither may be known to have done so.
//
// Neither the latest write of an entry nor its presence tells the order: the store may apply a write
// of a crashed target late, entries of targets in slow start change with each renewal, and a restored
// store lists ended targets again.
func (t *KnownTarget) StartedAfter(other *KnownTarget) bool {
	if t.Incarnation != 0 && other.Incarnation != 0 && t.Incarnation != other.Incarnation {
		return t.Incarnation > other.Incarnation
	}
	if !t.Start.IsFirstWrite || other.Start.Revision >= t.Start.Revision || !other.Start.precedesFirstWriteOf(t.Start) {
		return false
	}
	// An entry that was settled when a peer reported it was renewed, unless it has expired since.
	return !t.Start.SettledAt.IsZero() || !t.IsRemoved
}

// MayBeDelayedWrite reports whether the entry may only be there because the store applied a write of
// an ended target late: it was created by a write that was not the target's first.
func (t *KnownTarget) MayBeDelayedWrite() bool {
	return t.Sequence > 1 && t.Start.Revision == t.Written
}

// isSameIncarnation reports whether two states describe the same incarnation of a target.
func (t *Target) isSameIncarnation(other *Target) bool {
	isSame := t.Incarnation == other.Incarnation || t.Incarnation == 0 || other.Incarnation == 0
	return isSame && t.Identifier == other.Identifier
}
