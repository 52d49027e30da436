package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/monotonic"
)

// speedLifetime is how long a speed is valid if it is not renewed.
const speedLifetime = 30 * time.Second

// speed is a target's speed relative to the mean of its service. The zero value is an unknown target.
type speed struct {
	at    atomic.Int64
	ratio atomic.Uint64 // float64 bits
}

// SetSpeed sets the target's speed relative to the mean of its service.
func (s *Signal) SetSpeed(now time.Time, ratio float64) {
	s.speed.ratio.Store(math.Float64bits(ratio))
	s.speed.at.Store(monotonic.Nanoseconds(now))
}

// Speed returns the target's speed relative to the mean of its service, 1 if unknown.
func (s *Signal) Speed(now time.Time) float64 {
	at := s.speed.at.Load()
	if at == 0 || monotonic.Nanoseconds(now)-at > int64(speedLifetime) {
		return 1
	}
	return math.Float64frombits(s.speed.ratio.Load())
}

// slowPenalty returns the divisor of the target's share of flows for responses that are slower than
// its speed explains, so that a known low speed is not counted twice.
func (s *Signal) slowPenalty(now time.Time) float64 {
	return max(1, s.slowness.penalty(now)*min(1, s.Speed(now)))
}
