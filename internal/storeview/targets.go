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
	return &KnownTarget{Record: record, Target: *target, WarmAt: record.LearnedAt.Add(target.ColdFor)}
}

// State returns StateOpen, StateDraining or StateGone.
func (t *KnownTarget) State() string {
	switch {
	case t.Gone:
		return StateGone
	case t.Draining:
		return StateDraining
	}
	return StateOpen
}

func (t *KnownTarget) copied() *KnownTarget {
	copied := *t
	return &copied
}

func (t *KnownTarget) outlives(copied *KnownTarget) bool {
	switch {
	case t.Incarnation != copied.Incarnation:
		return t.Incarnation > copied.Incarnation
	case t.Gone:
		return !copied.Gone
	}
	return t.Draining && !copied.Draining && !copied.Gone
}

func (t *KnownTarget) identity() uint64 { return t.Identifier }

func (t *KnownTarget) state() string { return t.State() }

func (t *KnownTarget) described(now time.Time) Entry {
	target := t.Target
	target.ColdFor = max(0, t.WarmAt.Sub(now))
	if !t.Gone {
		// The receiver counts from LearnedAt, which it derives from the entry's age.
		target.ColdFor += max(0, now.Sub(t.LearnedAt))
	}
	return Entry{Target: &target}
}

func (t *KnownTarget) note(change *Change, hasNewState bool) {
	change.Targets = true
	change.Altered = append(change.Altered, t)
	if hasNewState {
		change.detail(t.Key, t.State())
	}
}
