package followed

import (
	"math"
	"time"
)

// SuppressionTimer spreads the calls of daemons that start together and cannot hear of
// each other yet. A delay is drawn so that of any number of daemons up to Crowd about as
// many begin early: the chance to begin grows exponentially with time (exponentially
// distributed feedback timers; Nonnenmacher, Biersack, "Scalable Feedback for Large
// Groups", 1999). Once the first of them has an answer, peers spare the rest their calls.
type SuppressionTimer struct {
	// Most is the longest delay; 0 is none.
	Most time.Duration
	// Crowd is up to how many daemons few begin early, more than 1.
	Crowd float64
}

// NoSuppression lets everybody begin at once.
var NoSuppression = SuppressionTimer{Crowd: 2}

// delay turns a uniform draw from 0 to 1 into a delay from 0 to Most.
func (s SuppressionTimer) delay(draw float64) time.Duration {
	growth := math.Log(s.Crowd)
	return time.Duration(float64(s.Most) * math.Log1p(draw*math.Expm1(growth)) / growth)
}
