package storeview

import "time"

// KnownTarget is the latest known state of a target; it is immutable. Removal from the store does
// not prove that the target has ended: its open flows are still routed for the retention period.
type KnownTarget struct {
	Record
	Target
	// WarmAt is the end of the target's slow start.
	WarmAt time.Time
	Start  Start
	// Leaving is nil unless the target is draining or gone.
	Leaving *Leaving
}

// States of a target.
const (
	StateOpen     = "open"     // receives new flows
	StateDraining = "draining" // keeps its open flows only
	StateGone     = "gone"     // no longer in the store; keeps its open flows
)

func newKnownTarget(record Record, target *Target, start Start) *KnownTarget {
	return &KnownTarget{Record: record, Target: *target, WarmAt: record.LearnedAt.Add(target.SlowStartRemaining), Start: start}
}

// State returns StateOpen, StateDraining or StateGone.
func (t *KnownTarget) State() string {
	switch {
	case t.IsRemoved:
		return StateGone
	case t.Draining:
		return StateDraining
	}
	return StateOpen
}

func (t *KnownTarget) clone() *KnownTarget {
	clone := *t
	return &clone
}

func (t *KnownTarget) supersedes(other *KnownTarget) bool {
	switch {
	case t.Incarnation != other.Incarnation:
		return t.Incarnation > other.Incarnation
	case t.IsRemoved:
		return !other.IsRemoved
	}
	return t.Draining && !other.Draining && !other.IsRemoved
}

// continueFrom takes over what is known of the incarnation from an earlier state of the same key.
func (t *KnownTarget) continueFrom(earlier *KnownTarget) {
	switch {
	case t.isSameIncarnation(&earlier.Target):
		t.continueIncarnation(earlier)
	case t.isOutdatedBy(earlier):
		t.replaceBy(earlier)
	default:
		t.Start.restartAt(earlier.Written, t.Written)
	}
}

// continueIncarnation takes over what is known from an earlier state of the same incarnation. Its
// entry may be a delayed write, which was made before that state.
func (t *KnownTarget) continueIncarnation(earlier *KnownTarget) {
	t.Start = t.Start.join(earlier.Start)
	if t.Sequence < earlier.Sequence && earlier.WarmAt.Before(t.WarmAt) {
		t.WarmAt = earlier.WarmAt
	}
	t.Sequence = max(t.Sequence, earlier.Sequence)
	t.joinDraining(earlier)
}

// joinDraining takes over that the incarnation drains: it does not become open again. After a restore
// of the store, its content decides.
func (t *KnownTarget) joinDraining(other *KnownTarget) {
	if !other.Draining || EpochOf(other.Written) != EpochOf(t.Written) {
		return
	}
	if !t.Draining {
		t.Draining, t.Leaving = true, other.Leaving
		return
	}
	t.Leaving = t.Leaving.join(other.Leaving)
}

// isOutdatedBy reports whether the entry is a delayed write of an earlier incarnation than the one of
// a known state.
func (t *KnownTarget) isOutdatedBy(known *KnownTarget) bool {
	isOfOneEpoch := EpochOf(t.Written) == EpochOf(known.Written)
	return isOfOneEpoch && t.Identifier == known.Identifier && t.Incarnation < known.Incarnation
}

// replaceBy replaces the described incarnation by that of a known state. The revision stays, as it is
// the one that the store's item has now.
func (t *KnownTarget) replaceBy(known *KnownTarget) {
	record := t.Record
	*t = *known
	t.Revision, t.Written = record.Revision, record.Written
}

// absorb returns the state with what another source knows of the same incarnation; isChanged is
// false if that is nothing new.
func (t *KnownTarget) absorb(other *KnownTarget) (joined *KnownTarget, isChanged bool) {
	if !t.isSameIncarnation(&other.Target) {
		return t, false
	}
	joined = t.clone()
	joined.Start = t.Start.join(other.Start)
	joined.joinDraining(other)
	isNewlyDraining := joined.Draining && !t.Draining
	if !isNewlyDraining && !joined.Leaving.improves(t.Leaving) && !joined.Start.improves(t.Start) {
		return t, false
	}
	return joined, true
}

func (t *KnownTarget) markLeaving(at, confirmedAt time.Time) {
	if t.Leaving == nil {
		t.Leaving = newLeaving(at, confirmedAt)
	}
}

func (t *KnownTarget) identity() uint64 { return t.Identifier }

func (t *KnownTarget) state() string { return t.State() }

func (t *KnownTarget) toEntry(now time.Time) Entry {
	target := t.Target
	target.SlowStartRemaining = max(0, t.WarmAt.Sub(now))
	if target.SlowStartRemaining > 0 {
		// The receiver counts from LearnedAt, which it derives from the entry's age.
		target.SlowStartRemaining += max(0, now.Sub(t.LearnedAt))
	}
	history := &TargetHistory{}
	t.Start.addTo(history, now)
	if t.Draining {
		history.Leaving = newLeavingAge(now, t.Leaving)
	}
	entry := Entry{Target: &target, History: history}
	if t.Start.Revision != t.Written {
		entry.Created = t.Start.Revision
	}
	return entry
}

func (t *KnownTarget) addTo(change *Change, hasNewState bool) {
	change.Targets = true
	change.ChangedTargets = append(change.ChangedTargets, t)
	if hasNewState {
		change.addDetail(t.Key, t.State())
	}
}
