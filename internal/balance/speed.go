package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// speedLifetime is how long a speed counts that is not renewed.
const speedLifetime = 30 * time.Second

// speed is how fast a target works compared with the others of its service. The zero value
// is a target of which nothing is known.
type speed struct {
	at    atomic.Int64
	times atomic.Uint64 // float64 bits
}

// SetSpeed says how fast the target works, 1 being the mean of its service.
func (s *Signal) SetSpeed(now time.Time, times float64) {
	s.speed.times.Store(math.Float64bits(times))
	s.speed.at.Store(now.UnixNano())
}

// Speed returns how fast the target works, 1 being the mean of its service, and 1 if nothing
// is known.
func (s *Signal) Speed(now time.Time) float64 {
	at := s.speed.at.Load()
	if at == 0 || now.UnixNano()-at > int64(speedLifetime) {
		return 1
	}
	return math.Float64frombits(s.speed.times.Load())
}

// slowPenalty is by what the target's share is divided because its answers take longer
// than its speed explains: what is known to be slow is not punished twice.
func (s *Signal) slowPenalty(now time.Time) float64 {
	return max(1, s.slowness.penalty(now)*min(1, s.Speed(now)))
}
