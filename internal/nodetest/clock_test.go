package nodetest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAfterClockStep(t *testing.T) {
	before := time.Now()
	for _, jump := range []time.Duration{-5 * time.Second, 0, 5 * time.Second} {
		after := AfterClockStep(before.Add(time.Millisecond), jump)
		assert.Equal(t, after.Sub(before), time.Millisecond)
		assert.Equal(t, after.UnixNano()-before.UnixNano(), int64(jump+time.Millisecond))
	}
}
