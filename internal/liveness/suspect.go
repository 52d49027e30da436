package liveness

import (
	"net/netip"
	"time"
)

// suspect is the state of a subject that some daemon reported as unresponsive.
type suspect struct {
	// evidence is keyed by reporter; the zero address is this daemon.
	evidence map[netip.AddrPort]evidence
	// flows holds the flows in this daemon's own evidence, reportsSent counts the reports on it.
	flows       map[uint64]bool
	reportsSent int
	// lastActivity is when the latest activity was seen, by this daemon or another one.
	lastActivity time.Time
	// suspectedAt is when the suspicion was broadcast, by any daemon; suspectedHere is set if it was
	// this one.
	suspectedAt   time.Time
	suspectedHere bool
	// probesLeft is the number of probes for the suspicion that have not failed yet.
	probesLeft int
	// localProbe is the state of the probe for a decision by this daemon alone.
	localProbe probeState
	// early is the state of the early probe, sent at earlyAt; earlyReported is set once its failure
	// was reported. probedAt is when a probe of any kind last ended.
	early         probeState
	earlyAt       time.Time
	earlyReported bool
	probedAt      time.Time
	// rank is this daemon's rank among the judges, sufficientAt when the evidence first sufficed.
	rank         int
	sufficientAt time.Time
	// deadUntil is when the verdict expires, unresponsiveSince when the silence behind it began.
	deadUntil         time.Time
	unresponsiveSince time.Time
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
	since                  time.Time
	until                  time.Time
	flows, retransmissions int
}

func newSuspect() *suspect {
	return &suspect{evidence: map[netip.AddrPort]evidence{}, flows: map[uint64]bool{}}
}

// addEvidence records another daemon's evidence. A report of a failed probe (without
// retransmissions) only extends what the daemon reported on its callers.
func (s *suspect) addEvidence(report *Received, update evidence) {
	if known, found := s.evidence[report.From]; found && report.Retransmissions == 0 {
		known.until = update.until
		update = known
	}
	s.evidence[report.From] = update
}

// recordActivity records activity and reports whether it is later than any seen before. Evidence of a
// silence that began earlier is dropped.
func (s *suspect) recordActivity(at time.Time) bool {
	if !at.After(s.lastActivity) {
		return false
	}
	s.lastActivity = at
	for reporter, item := range s.evidence {
		if item.since.Before(at) {
			delete(s.evidence, reporter)
		}
	}
	s.resetSuspicion()
	return true
}

// expire drops expired evidence.
func (s *suspect) expire(now time.Time) {
	for reporter, item := range s.evidence {
		if !now.Before(item.until) {
			delete(s.evidence, reporter)
		}
	}
	if len(s.evidence) == 0 {
		s.resetSuspicion()
	}
}

func (s *suspect) resetSuspicion() {
	s.suspectedAt, s.sufficientAt = time.Time{}, time.Time{}
	s.suspectedHere, s.probesLeft, s.localProbe = false, 0, probeNone
	s.early, s.earlyReported = probeNone, false
}

// sumEvidence sums the evidence; since is the earliest beginning of a silence in it.
func (s *suspect) sumEvidence() (flows, retransmissions int, since time.Time) {
	for _, item := range s.evidence {
		flows += item.flows
		retransmissions += item.retransmissions
		if since.IsZero() || item.since.Before(since) {
			since = item.since
		}
	}
	return flows, retransmissions, since
}

func (s *suspect) isDead(now time.Time) bool { return now.Before(s.deadUntil) }

// isExpired reports whether the state can be dropped. After a probe it is kept for a window, since
// its result may refute suspicions of others.
func (s *suspect) isExpired(now time.Time, window time.Duration) bool {
	return len(s.evidence) == 0 && !s.isDead(now) && now.Sub(s.probedAt) >= window
}
