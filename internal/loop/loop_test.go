package loop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A pause is reported before the first tick after it and for a while after that.
func TestAProcessKnowsThatItStoodStill(t *testing.T) {
	held := New()
	defer held.cancel()
	begun := time.Now()
	held.NoteTick(begun)
	assert.Equal(t, held.StoodStill(begun.Add(TickInterval)), time.Duration(0))
	woke := begun.Add(4 * time.Second)
	assert.Equal(t, held.StoodStill(woke), 4*time.Second)
	held.NoteTick(woke)
	for after := TickInterval; after < wokeLately; after += TickInterval {
		held.NoteTick(woke.Add(after))
		assert.Equal(t, held.StoodStill(woke.Add(after)), 4*time.Second)
	}
	held.NoteTick(woke.Add(wokeLately))
	assert.Equal(t, held.StoodStill(woke.Add(wokeLately)), time.Duration(0))
}
