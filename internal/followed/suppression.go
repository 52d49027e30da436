package followed

import (
	"math"
	"time"
)

// SuppressionTimer spreads the calls of daemons that start together and do not receive each
// other's messages yet. Delays are exponentially distributed towards the maximum, so that in a
// group of any size up to the expected one about the same few daemons call early; the others are
// then supplied by peers (Nonnenmacher, Biersack, "Scalable Feedback for Large Groups", 1999).
type SuppressionTimer struct {
	// MaxDelay is the maximum delay; 0 disables the timer.
	MaxDelay time.Duration
	// GroupSize is the number of daemons up to which only a few call early. It must exceed 1.
	GroupSize float64
}

// NoSuppression always returns a delay of 0.
var NoSuppression = SuppressionTimer{GroupSize: 2}

// delay maps a uniform draw from [0, 1] to a delay from 0 to the maximum.
func (s SuppressionTimer) delay(draw float64) time.Duration {
	growth := math.Log(s.GroupSize)
	return time.Duration(float64(s.MaxDelay) * math.Log1p(draw*math.Expm1(growth)) / growth)
}
