package liveness

import (
	"net/netip"
	"time"
)

// suspect is the state of a subject that some daemon reported as unresponsive.
type suspect struct {
	// evidence is keyed by reporter; the zero address is this daemon.
	evidence map[netip.AddrPort]evidence
	// flows holds the flows in this daemon's own evidence, told the number of reports sent on it.
	flows map[uint64]bool
	told  int
	// lifeAt is when the latest activity was seen, by this daemon or another one.
	lifeAt time.Time
	// askedAt is when the suspicion was broadcast, by any daemon; askedHere is set if it was
	// this one.
	askedAt   time.Time
	askedHere bool
	// probesLeft is the number of probes for the suspicion that have not failed yet.
	probesLeft int
	// alone is the state of the probe for a decision by this daemon alone.
	alone probeState
	// early is the state of the early probe, sent at earlyAt; earlyTold is set once its failure
	// was reported. probedAt is when a probe of any kind last ended.
	early     probeState
	earlyAt   time.Time
	earlyTold bool
	probedAt  time.Time
	// rank is this daemon's rank among the judges, enoughAt when the evidence first sufficed.
	rank     int
	enoughAt time.Time
	// deadUntil is when the verdict expires, silentSince when the silence behind it began.
	deadUntil   time.Time
	silentSince time.Time
	// repeatAt is when this daemon's verdict is to be sent a second time, zero if it is not.
	repeatAt time.Time
}

type probeState uint8

const (
	probeNone probeState = iota
	probePending
	probeFailed
)

// evidence is what one daemon reported: no acknowledgements since a time.
type evidence struct {
	since        time.Time
	until        time.Time
	flows, sends int
}

func newSuspect() *suspect {
	return &suspect{evidence: map[netip.AddrPort]evidence{}, flows: map[uint64]bool{}}
}

// takeEvidence records another daemon's evidence. A report of a failed probe (without
// retransmissions) only extends what the daemon reported on its clients.
func (s *suspect) takeEvidence(report *Received, told evidence) {
	if held, isHeld := s.evidence[report.From]; isHeld && report.Sends == 0 {
		held.until = told.until
		told = held
	}
	s.evidence[report.From] = told
}

// seeLife records activity and reports whether it is later than any seen before. Evidence of a
// silence that began earlier is dropped.
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

// expire drops expired evidence.
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

// weigh sums the evidence; since is the earliest beginning of a silence in it.
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

// isOver reports whether the state can be dropped. After a probe it is kept for a window, since
// its result may refute suspicions of others.
func (s *suspect) isOver(now time.Time, window time.Duration) bool {
	return len(s.evidence) == 0 && !s.isDead(now) && now.Sub(s.probedAt) >= window
}
