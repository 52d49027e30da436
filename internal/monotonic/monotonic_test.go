package monotonic

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/nodetest"
)

func TestRoundTrip(t *testing.T) {
	now := time.Now()
	assert.Equal(t, Time(Nanoseconds(now)).Sub(now), time.Duration(0))
}

func TestTimeWithoutMonotonicReadingIsUnixTime(t *testing.T) {
	for _, virtual := range []time.Time{time.Unix(1000, 7), time.Unix(1_800_000_000, 0)} {
		assert.Equal(t, Nanoseconds(virtual), virtual.UnixNano())
	}
}

// TestSpansIgnoreClockSteps guards against stored times that are off by a jump of the time of day.
func TestSpansIgnoreClockSteps(t *testing.T) {
	before := time.Now()
	stored := Nanoseconds(before)
	for _, jump := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		after := nodetest.AfterClockStep(before.Add(time.Second), jump)
		assert.Equal(t, Nanoseconds(after)-stored, int64(time.Second))
		assert.Equal(t, after.Sub(Time(stored)), time.Second)
	}
}
