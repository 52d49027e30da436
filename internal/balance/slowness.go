package balance

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// slownessStep is by what part the average follows one answer.
	slownessStep = 0.3
	// slownessMemory is the time constant with which the average goes back to 1 while
	// nothing is heard: a target that is passed over must be tried again.
	slownessMemory = 4 * time.Second
	// slownessNoise is up to where the average says nothing, since requests differ, and
	// slownessMost its bound.
	slownessNoise = 1.6
	slownessMost  = 20
)

// slowness is how many times longer than usual answers of a target take to begin: an
// average over answers, which one that is awaited for longer raises at once (peak
// EWMA; Eriksen, "Your Server as a Function", 2013, and its balancers). The zero value is
// a target of which nothing is known. One goroutine at a time may note.
type slowness struct {
	at      atomic.Int64
	average atomic.Uint64 // float64 bits
}

// note takes in that an answer took so many times as long as usual.
func (s *slowness) note(now time.Time, times float64) {
	held := s.value(now)
	s.set(now, held+(min(times, slownessMost)-held)*slownessStep)
}

// noteAtLeast takes in that an answer has not come yet after so many times as long.
func (s *slowness) noteAtLeast(now time.Time, times float64) {
	if times = min(times, slownessMost); times > s.value(now) {
		s.set(now, times)
	}
}

func (s *slowness) set(now time.Time, average float64) {
	s.average.Store(math.Float64bits(average))
	s.at.Store(now.UnixNano())
}

// value is the average as of now, 1 for a target that is as fast as usual.
func (s *slowness) value(now time.Time) float64 {
	at := s.at.Load()
	if at == 0 {
		return 1
	}
	age := float64(now.UnixNano()-at) / float64(slownessMemory)
	return 1 + (math.Float64frombits(s.average.Load())-1)*math.Exp(-max(age, 0))
}

// penalty is by what a target's share is divided.
func (s *slowness) penalty(now time.Time) float64 {
	return max(1, s.value(now)/slownessNoise)
}
