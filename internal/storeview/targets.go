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
	if !t.isSameIncarnation(&earlier.Target) {
		t.Start.restartAt(earlier.Written, t.Written)
		return
	}
	t.Start = t.Start.join(earlier.Start)
	if t.Draining && earlier.Draining {
		t.Leaving = t.Leaving.join(earlier.Leaving)
	}
}

func (t *KnownTarget) markLeaving(at, confirmedAt time.Time) {
	if t.Leaving == nil {
		t.Leaving = newLeaving(at, confirmedAt)
	}
}

// absorb returns the state with what another source knows of the same incarnation; isChanged is
// false if that is nothing new.
func (t *KnownTarget) absorb(other *KnownTarget) (joined *KnownTarget, isChanged bool) {
	isEarlier := t.Draining && other.Draining && other.Leaving.improves(t.Leaving)
	if !t.isSameIncarnation(&other.Target) || !other.Start.improves(t.Start) && !isEarlier {
		return t, false
	}
	joined = t.clone()
	joined.Start = t.Start.join(other.Start)
	if isEarlier {
		joined.Leaving = t.Leaving.join(other.Leaving)
	}
	return joined, true
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
	history := &TargetHistory{IsFirstWrite: t.Start.IsFirstWrite, Unsettled: t.Start.unsettled(now)}
	if t.Draining {
		history.Leaving = newLeavingAge(now, t.Leaving)
	}
	return Entry{Target: &target, Created: t.Start.Revision, History: history}
}

func (t *KnownTarget) addTo(change *Change, hasNewState bool) {
	change.Targets = true
	change.ChangedTargets = append(change.ChangedTargets, t)
	if hasNewState {
		change.addDetail(t.Key, t.State())
	}
}
