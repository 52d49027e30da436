package storeview

import "time"

// Leaving is when a target began to leave: when it announced that it drains or, without an
// announcement, when its entry disappeared. Later changes of the entry do not renew it.
type Leaving struct {
	// LearnedAt is when the first daemon learned it from the store.
	LearnedAt time.Time
	// NotBefore is the latest known time at which the target was not leaving yet, zero if unknown.
	// It is earlier than LearnedAt by as long as learning it took, for instance because another
	// daemon had to take over reading the store.
	NotBefore time.Time
}

// newLeaving returns the leaving state learned at a time, while everything that the store held at
// confirmedAt was known.
func newLeaving(learnedAt, confirmedAt time.Time) *Leaving {
	if confirmedAt.After(learnedAt) {
		confirmedAt = learnedAt
	}
	return &Leaving{LearnedAt: learnedAt, NotBefore: confirmedAt}
}

// join returns what two sources together tell about the same departure.
func (l *Leaving) join(other *Leaving) *Leaving {
	if other == nil || *other == *l {
		return l
	}
	joined := *l
	if other.LearnedAt.Before(l.LearnedAt) {
		joined.LearnedAt = other.LearnedAt
	}
	if l.NotBefore.IsZero() || !other.NotBefore.IsZero() && other.NotBefore.Before(l.NotBefore) {
		joined.NotBefore = other.NotBefore
	}
	return &joined
}

// improves reports whether the target began to leave earlier than another source tells. Times of
// peers differ slightly, which is not reported.
func (l *Leaving) improves(other *Leaving) bool {
	return l != nil && other != nil && other.LearnedAt.Sub(l.LearnedAt) > ageTolerance
}

// LeavingAge is Leaving as sent to peers.
type LeavingAge struct {
	// Learned is the time since Leaving.LearnedAt, Unconfirmed that since Leaving.NotBefore, 0 if
	// unknown.
	Learned     time.Duration `cbor:"1,keyasint"`
	Unconfirmed time.Duration `cbor:"2,keyasint,omitempty"`
}

func newLeavingAge(now time.Time, leaving *Leaving) *LeavingAge {
	age := &LeavingAge{Learned: max(0, now.Sub(leaving.LearnedAt))}
	if !leaving.NotBefore.IsZero() {
		age.Unconfirmed = max(0, now.Sub(leaving.NotBefore))
	}
	return age
}

// since returns the times that the ages tell at a time.
func (a *LeavingAge) since(now time.Time) *Leaving {
	leaving := &Leaving{LearnedAt: now.Add(-a.Learned)}
	if a.Unconfirmed > 0 {
		leaving.NotBefore = now.Add(-a.Unconfirmed)
	}
	return leaving
}
