package storeview

import (
	"cmp"
	"time"
)

// maxWriteDelay is how long the store may take to apply a write. The writer may have crashed by
// then, and another target may run at its address.
const maxWriteDelay = 6 * time.Second

// maxSentStartAge bounds the times of a start that peers are sent, so that a long-running fleet sends
// none. An entry of an earlier target at the address has expired by then.
const maxSentStartAge = 2 * time.Minute

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
	// SeenAt is when its entry was first seen. The target started before that.
	SeenAt time.Time
	// AbsentAt is a time at which the store did not have that revision yet, zero if none is known. A
	// write that it applied later was made at most maxWriteDelay before.
	AbsentAt time.Time
}

// newStart returns what an entry tells about the start of its target. absentAt is a time at which the store
// did not have it yet, zero if none is known. mayBeRestored reports that the entry may be from a backup
// of the store.
func newStart(now, absentAt time.Time, entry *Entry, mayBeRestored bool) Start {
	start := Start{Revision: cmp.Or(entry.Created, entry.Revision)}
	if history := entry.History; history != nil {
		start.IsFirstWrite = history.IsFirstWrite
		start.SeenAt, start.AbsentAt = history.startTimes(now)
		return start
	}
	start.SeenAt = now.Add(-entry.Age)
	// Peers of earlier versions send no history.
	if entry.Age > 0 || mayBeRestored || start.Revision != entry.Revision {
		return start
	}
	// An entry with a later sequence number existed before and expired, or its first write is delayed.
	start.IsFirstWrite = entry.Target.Sequence <= 1
	start.AbsentAt = absentAt
	return start
}

// startTimes returns SeenAt and AbsentAt of a start.
func (h *TargetHistory) startTimes(now time.Time) (seenAt, absentAt time.Time) {
	switch {
	case h.SeenAge > 0:
		seenAt = now.Add(-h.SeenAge)
	case h.Unsettled > 0:
		seenAt = now.Add(h.Unsettled - maxWriteDelay)
	default:
		seenAt = now.Add(-maxSentStartAge)
	}
	if h.AbsentAge > 0 {
		absentAt = now.Add(-h.AbsentAge)
	}
	return seenAt, absentAt
}

// addTo adds the start to the history that is sent to peers.
func (s Start) addTo(history *TargetHistory, now time.Time) {
	history.IsFirstWrite = s.IsFirstWrite
	if age := now.Sub(s.SeenAt); age < maxSentStartAge {
		history.SeenAge = max(1, age)
		history.Unsettled = max(0, maxWriteDelay-age)
	}
	if age := now.Sub(s.AbsentAt); !s.AbsentAt.IsZero() && age < maxSentStartAge {
		history.AbsentAge = max(1, age)
	}
}

// join returns what two sources together tell about a start. Of two times the earlier one counts: peers
// add the time that their messages take.
func (s Start) join(other Start) Start {
	joined := s
	switch {
	case other.Revision < s.Revision:
		joined.Revision, joined.IsFirstWrite, joined.AbsentAt = other.Revision, other.IsFirstWrite, other.AbsentAt
	case other.Revision == s.Revision:
		joined.IsFirstWrite = s.IsFirstWrite || other.IsFirstWrite
		joined.AbsentAt = earlierKnown(s.AbsentAt, other.AbsentAt)
	}
	joined.SeenAt = earlierKnown(s.SeenAt, other.SeenAt)
	return joined
}

// earlierKnown returns the earlier of two times; the zero time means unknown.
func earlierKnown(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
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
		other.SeenAt.Sub(s.SeenAt) > ageTolerance ||
		!s.AbsentAt.IsZero() && (other.AbsentAt.IsZero() || other.AbsentAt.Sub(s.AbsentAt) > ageTolerance)
}

// precedesWriteOf reports whether the entry was seen so long before the write at the revision of other
// was applied that this write was made later, even if it was delayed.
func (s Start) precedesWriteOf(other Start) bool {
	return !other.AbsentAt.IsZero() && !other.AbsentAt.Before(s.SeenAt.Add(maxWriteDelay+propagationMargin))
}

// StartedAfter reports whether the target certainly started after another one at its address.
// Neither may be known to have done so.
//
// Neither the latest write of an entry nor its presence tells the order: the store may apply a write
// of a crashed target late, entries of targets in slow start change with each renewal, and a restored
// store lists ended targets again.
func (t *KnownTarget) StartedAfter(other *KnownTarget) bool {
	switch {
	case t.wroteFirstAfter(other):
		return true
	case other.wroteFirstAfter(t):
		return false // whatever the incarnations tell, as clocks may be set back
	}
	return t.Incarnation != 0 && other.Incarnation != 0 && t.Incarnation > other.Incarnation
}

// wroteFirstAfter reports whether the target made its first write after another one had started.
func (t *KnownTarget) wroteFirstAfter(other *KnownTarget) bool {
	return t.Start.IsFirstWrite && other.Start.Revision < t.Start.Revision && other.Start.precedesWriteOf(t.Start)
}

// isSameIncarnation reports whether two states describe the same incarnation of a target.
func (t *Target) isSameIncarnation(other *Target) bool {
	isSame := t.Incarnation == other.Incarnation || t.Incarnation == 0 || other.Incarnation == 0
	return isSame && t.Identifier == other.Identifier
}
