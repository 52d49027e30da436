// Package balance chooses a target for a new flow from what targets say of
// themselves in band and from what this daemon saw. It holds no clock and no
// global randomness.
package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/encapsulation"
)

const (
	// stateLifetime is how long a target's own word on accepting or draining
	// counts as fresh.
	stateLifetime = 5 * time.Second
	// busyHalfLife is how fast a report of busy slots fades. Requests are short,
	// and a target's last packet of one still counts its slot as busy.
	busyHalfLife = 300 * time.Millisecond
	// pickLifetime is about how long a target needs to show a new flow in its
	// reports; own picks fade with it.
	pickLifetime = 150 * time.Millisecond
	// ejectionAfter is how many first flights in a row must stay unanswered
	// before a target is taken out, and ejectionBase for how long at first.
	ejectionAfter = 3
	ejectionBase  = 2 * time.Second
	ejectionMost  = 30 * time.Second
)

// Signal is what one daemon knows of one target's load. All methods are safe
// for concurrent use and allocate nothing. Times are Unix nanoseconds inside.
type Signal struct {
	reportedAt  atomic.Int64
	state       atomic.Uint32
	busy        atomic.Uint32
	slots       atomic.Uint32
	connections atomic.Uint32
	maximum     atomic.Uint32

	picksAt atomic.Int64
	picks   atomic.Uint64 // float64 bits

	unanswered   atomic.Int32
	ejections    atomic.Int32
	ejectedUntil atomic.Int64
}

// Observe takes in a target's report.
func (s *Signal) Observe(now time.Time, report *encapsulation.Report) {
	s.state.Store(uint32(report.State))
	s.busy.Store(uint32(report.BusySlots))
	s.slots.Store(uint32(report.Slots))
	s.connections.Store(report.Connections)
	s.maximum.Store(report.MaximumConnections)
	s.reportedAt.Store(now.UnixNano())
}

// NotePick counts a flow given to the target.
func (s *Signal) NotePick(now time.Time) {
	picks := s.recentPicks(now) + 1
	s.picks.Store(math.Float64bits(picks))
	s.picksAt.Store(now.UnixNano())
}

func (s *Signal) recentPicks(now time.Time) float64 {
	age := float64(now.UnixNano()-s.picksAt.Load()) / float64(pickLifetime)
	return math.Float64frombits(s.picks.Load()) * math.Exp(-max(age, 0))
}

// NoteAnswered says that a first flight was answered: the target lives.
func (s *Signal) NoteAnswered() {
	s.unanswered.Store(0)
	s.ejections.Store(0)
	s.ejectedUntil.Store(0)
}

// NoteUnanswered says that a first flight was not answered in time. After
// several in a row the target is out for a while, longer each time.
func (s *Signal) NoteUnanswered(now time.Time) {
	if s.unanswered.Add(1) < ejectionAfter {
		return
	}
	s.unanswered.Store(0)
	doubling := min(s.ejections.Add(1)-1, 4)
	span := min(ejectionBase<<doubling, ejectionMost)
	s.ejectedUntil.Store(now.Add(span).UnixNano())
}

// IsEjected reports whether what was seen of the target speaks against it.
func (s *Signal) IsEjected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// SaysAccepting reports whether the target itself said so lately.
func (s *Signal) SaysAccepting(now time.Time) bool {
	return s.freshState(now) == encapsulation.TargetAccepting
}

// SaysDraining reports whether the target's last word was that it is leaving.
// That word does not age: only a newer one takes it back.
func (s *Signal) SaysDraining() bool {
	return encapsulation.TargetState(s.state.Load()) == encapsulation.TargetDraining
}

func (s *Signal) freshState(now time.Time) encapsulation.TargetState {
	if now.UnixNano()-s.reportedAt.Load() > int64(stateLifetime) {
		return 0
	}
	return encapsulation.TargetState(s.state.Load())
}

// Connections returns the connections last reported, and own picks since.
func (s *Signal) Connections(now time.Time) float64 {
	return float64(s.connections.Load()) + s.recentPicks(now)
}

// busyShare is the share of slots busy, fading with the report's age.
func (s *Signal) busyShare(now time.Time) float64 {
	slots := s.slots.Load()
	if slots == 0 {
		return 0
	}
	age := float64(now.UnixNano()-s.reportedAt.Load()) / float64(busyHalfLife)
	return math.Exp2(-max(age, 0)) * float64(s.busy.Load()) / float64(slots)
}
