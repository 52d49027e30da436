package followed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSuppressionSpreadsCallsOfAnyGroupSize(t *testing.T) {
	timer := SuppressionTimer{MaxDelay: 600 * time.Millisecond, GroupSize: 1000}
	t.Run("delays range from 0 to the maximum", func(t *testing.T) {
		assert.Equal(t, timer.delay(0), time.Duration(0))
		assert.Equal(t, timer.delay(1).Round(time.Microsecond), timer.MaxDelay)
	})
	t.Run("few of many daemons call early, and one of a few does", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		for _, daemons := range []int{3, 30, 300, 1000} {
			early, first := 0, timer.MaxDelay
			for range daemons {
				delay := timer.delay(random.Float64())
				first = min(first, delay)
				if delay < timer.MaxDelay/2 {
					early++
				}
			}
			assert.Assert(t, early <= 50, "%d of %d", early, daemons)
			assert.Assert(t, first < timer.MaxDelay, "%d daemons", daemons)
		}
	})
}
