package token

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/liveness"
)

// ZoneOf returns the zone of a target, or false if its flows can't be forwarded.
func (t *Table) ZoneOf(identifier uint64) (zone string, found bool) {
	target := t.targetByIdentifier(identifier)
	if target == nil || target.IsSuperseded {
		return "", false
	}
	return target.Zone, true
}

// IsKnown reports whether packets can be forwarded to the subject, a target or zone.
func (t *Table) IsKnown(subject liveness.Subject) bool {
	if subject.Zone != "" {
		return t.index.zones[subject.Zone] != nil
	}
	_, isKnown := t.ZoneOf(subject.Target)
	return isKnown
}

// subjectTargets returns the targets of a subject, except superseded ones. The slice must not be
// modified.
func (t *Table) subjectTargets(subject liveness.Subject) []*Target {
	if subject.Zone != "" {
		if z := t.index.zones[subject.Zone]; z != nil {
			return z.targets
		}
		return nil
	}
	if target := t.targetByIdentifier(subject.Target); target != nil && !target.IsSuperseded {
		return []*Target{target}
	}
	return nil
}

// LastActivity returns the time of the last observed activity of a subject, zero if there was none.
func (t *Table) LastActivity(subject liveness.Subject) time.Time {
	var last time.Time
	for _, target := range t.subjectTargets(subject) {
		if activity := target.Signal.LastActivity(); activity.After(last) {
			last = activity
		}
	}
	return last
}

// ServicesOf returns the number of the subject's targets by service.
func (t *Table) ServicesOf(subject liveness.Subject) map[string]int {
	if z := t.index.zones[subject.Zone]; subject.Zone != "" && z != nil {
		return maps.Clone(z.services)
	}
	counts := map[string]int{}
	for _, target := range t.subjectTargets(subject) {
		counts[target.Service]++
	}
	return counts
}

// TargetsToProbe returns up to count targets to probe for a subject: half of them the most
// recently active ones, half the least recently active.
func (t *Table) TargetsToProbe(subject liveness.Subject, count int) []uint64 {
	targets := slices.Clone(t.subjectTargets(subject))
	slices.SortFunc(targets, func(a, b *Target) int {
		return cmp.Or(b.Signal.LastActivity().Compare(a.Signal.LastActivity()), cmp.Compare(a.Token, b.Token))
	})
	if len(targets) > count {
		latest := (count + 1) / 2
		targets = append(targets[:latest:latest], targets[len(targets)-(count-latest):]...)
	}
	var identifiers []uint64
	for _, target := range targets {
		identifiers = append(identifiers, target.Identifier)
	}
	return identifiers
}

// SetDead marks a target as dead until the given time. Its share of new flows then ramps up until
// probation.
func (t *Table) SetDead(identifier uint64, until, probation time.Time) {
	if target := t.targetByIdentifier(identifier); target != nil {
		target.Signal.SetDead(until, probation)
		t.trackUnavailable(target)
	}
}

// SetAlive reverts SetDead.
func (t *Table) SetAlive(identifier uint64) {
	if target := t.targetByIdentifier(identifier); target != nil {
		target.Signal.SetAlive()
	}
}

// IsDead reports whether a target can't serve its flows any more.
func (t *Table) IsDead(now time.Time, identifier uint64) bool {
	target := t.targetByIdentifier(identifier)
	return target != nil && target.isDead(now)
}

// IsTokenDead is IsDead for the target with a token.
func (t *Table) IsTokenDead(now time.Time, token uint32) bool {
	target := t.index.find(token)
	return target != nil && target.isDead(now)
}

// TargetByToken returns the target with a token, nil if there is none.
func (t *Table) TargetByToken(token uint32) *Target { return t.index.find(token) }

// HasSuperseded reports whether any target was superseded by another one at its address.
func (t *Table) HasSuperseded() bool { return t.index.superseded > 0 }
