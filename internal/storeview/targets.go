package storeview

import "time"

// KnownTarget is the latest known state of a target; it is immutable. Removal from the store does
// not prove that the target has ended: its open flows are still routed for the retention period.
type KnownTarget struct {
	Record
	Target
	// WarmAt is the end of the target's slow start.
	WarmAt time.Time
}

// States of a target.
const (
	StateOpen     = "open"     // receives new flows
	StateDraining = "draining" // keeps its open flows only
	StateGone     = "gone"     // no longer in the store; keeps its open flows
)

func newKnownTarget(record Record, target *Target) *KnownTarget {
	return &KnownTarget{Record: record, Target: *target, WarmAt: record.LearnedAt.Add(target.SlowStartRemaining)}
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

func (t *KnownTarget) identity() uint64 { return t.Identifier }

func (t *KnownTarget) state() string { return t.State() }

func (t *KnownTarget) toEntry(now time.Time) Entry {
	target := t.Target
	target.SlowStartRemaining = max(0, t.WarmAt.Sub(now))
	if !t.IsRemoved {
		// The receiver counts from LearnedAt, which it derives from the entry's age.
		target.SlowStartRemaining += max(0, now.Sub(t.LearnedAt))
	}
	return Entry{Target: &target}
}

func (t *KnownTarget) addTo(change *Change, hasNewState bool) {
	change.Targets = true
	change.ChangedTargets = append(change.ChangedTargets, t)
	if hasNewState {
		change.addDetail(t.Key, t.State())
	}
}
