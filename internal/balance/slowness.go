package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/monotonic"
)

const (
	// slownessStep is the smoothing factor of the average.
	slownessStep = 0.3
	// slownessDecay is the time constant with which the average decays to 1 without new
	// responses, so that an avoided target is tried again.
	slownessDecay = 4 * time.Second
	// slownessTolerance is the average up to which there is no penalty, since requests differ;
	// maxSlowness is the upper bound of the average.
	slownessTolerance = 1.6
	maxSlowness       = 20
)

// slowness is a peak EWMA (Eriksen, "Your Server as a Function", 2013) of the time to first byte of
// a target's responses, as a multiple of the usual one. An overdue response raises it at once. The
// zero value is an unknown target. It must not be updated concurrently.
type slowness struct {
	at      atomic.Int64
	average atomic.Uint64 // float64 bits
}

// record records the latency of a response, as a multiple of the usual one.
func (s *slowness) record(now time.Time, ratio float64) {
	average := s.value(now)
	s.set(now, average+(min(ratio, maxSlowness)-average)*slownessStep)
}

// recordAtLeast records that a response has not come after the given multiple of the usual time.
func (s *slowness) recordAtLeast(now time.Time, ratio float64) {
	if ratio = min(ratio, maxSlowness); ratio > s.value(now) {
		s.set(now, ratio)
	}
}

func (s *slowness) set(now time.Time, average float64) {
	s.average.Store(math.Float64bits(average))
	s.at.Store(monotonic.Nanoseconds(now))
}

// value returns the current average, 1 for a target of usual speed.
func (s *slowness) value(now time.Time) float64 {
	at := s.at.Load()
	if at == 0 {
		return 1
	}
	age := float64(monotonic.Nanoseconds(now)-at) / float64(slownessDecay)
	return 1 + (math.Float64frombits(s.average.Load())-1)*math.Exp(-max(age, 0))
}

// penalty returns the divisor of the target's share of flows.
func (s *slowness) penalty(now time.Time) float64 {
	return max(1, s.value(now)/slownessTolerance)
}
