package liveness

import (
	"net/netip"
	"time"
)

// suspect is what is known of a subject that somebody holds for silent.
type suspect struct {
	// evidence is by reporter; the zero address is this daemon.
	evidence map[netip.AddrPort]evidence
	// flows are those of this daemon's own evidence, told how often it was told.
	flows map[uint64]bool
	told  int
	// lifeAt is the latest sign of life, seen here or told by others.
	lifeAt time.Time
	// askedAt is when all were asked about the evidence, by this daemon or another one;
	// askedHere says that it was this one.
	askedAt   time.Time
	askedHere bool
	// probesLeft is how many probes were not answered yet; 0 if there are none to be made.
	probesLeft int
	// alone is how the probe ended by which this daemon judges alone.
	alone probeState
	// early is how the probe ended that was made at the first evidence, at earlyAt; earlyTold
	// says that others were told of its failure. probedAt is when any probe ended last.
	early     probeState
	earlyAt   time.Time
	earlyTold bool
	probedAt  time.Time
	// rank is this daemon's among the judges, enoughAt since when the evidence is enough.
	rank     int
	enoughAt time.Time
	// deadUntil is until when the target is held for dead, silentSince from when on it
	// said nothing.
	deadUntil   time.Time
	silentSince time.Time
	// repeatAt is when a verdict of this daemon is told once more, zero if it is not.
	repeatAt time.Time
}

// probeState is how far a probe has come.
type probeState uint8

const (
	probeNone probeState = iota
	probePending
	probeFailed
)

// evidence is what one daemon saw: from when on its callers got no acknowledgement.
type evidence struct {
	since        time.Time
	until        time.Time
	flows, sends int
}

func newSuspect() *suspect {
	return &suspect{evidence: map[netip.AddrPort]evidence{}, flows: map[uint64]bool{}}
}

// takeEvidence takes in what another daemon tells. That its probe failed, too, takes nothing of
// what it told of its callers.
func (s *suspect) takeEvidence(report *Received, told evidence) {
	if held, isHeld := s.evidence[report.From]; isHeld && report.Sends == 0 {
		held.until = told.until
		told = held
	}
	s.evidence[report.From] = told
}

// seeLife takes in a sign of life, and reports whether it is later than those before.
// Silence that began before it says nothing any more.
func (s *suspect) seeLife(at time.Time) bool {
	if !at.After(s.lifeAt) {
		return false
	}
	s.lifeAt = at
	for reporter, held := range s.evidence {
		if held.since.Before(at) {
			delete(s.evidence, reporter)
		}
	}
	s.forgetQuestion()
	return true
}

// expire forgets evidence that is too old.
func (s *suspect) expire(now time.Time) {
	for reporter, held := range s.evidence {
		if !now.Before(held.until) {
			delete(s.evidence, reporter)
		}
	}
	if len(s.evidence) == 0 {
		s.forgetQuestion()
	}
}

func (s *suspect) forgetQuestion() {
	s.askedAt, s.enoughAt = time.Time{}, time.Time{}
	s.askedHere, s.probesLeft, s.alone = false, 0, probeNone
	s.early, s.earlyTold = probeNone, false
}

// weigh sums the evidence. since is when the silence began that all of it is of.
func (s *suspect) weigh() (flows, sends int, since time.Time) {
	for _, held := range s.evidence {
		flows += held.flows
		sends += held.sends
		if since.IsZero() || held.since.Before(since) {
			since = held.since
		}
	}
	return flows, sends, since
}

func (s *suspect) isDead(now time.Time) bool { return now.Before(s.deadUntil) }

// isOver reports whether nothing speaks against the subject any more. What a probe found is
// kept for a window, to object to the questions of others.
func (s *suspect) isOver(now time.Time, window time.Duration) bool {
	return len(s.evidence) == 0 && !s.isDead(now) && now.Sub(s.probedAt) >= window
}
