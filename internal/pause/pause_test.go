package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMessagesMayBeStaleAfterPause(t *testing.T) {
	var detector Detector
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !detector.RecordStep(now), "no pause before the first step")
	now = now.Add(Threshold)
	assert.Assert(t, !detector.RecordStep(now))
	assert.Assert(t, !detector.MayBeStale(now))
	now = now.Add(Threshold + 1)
	assert.Assert(t, detector.MayBeStale(now), "before the first step after the pause")
	assert.Assert(t, detector.RecordStep(now))
	assert.Assert(t, detector.MayBeStale(now.Add(backlogDuration-1)))
	assert.Assert(t, !detector.MayBeStale(now.Add(backlogDuration)))
	assert.Assert(t, !detector.RecordStep(now.Add(1)), "a pause is reported once")
}
