package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestAProcessKnowsThatItStoodStill when it wakes, before its loop turns and after.
func TestAProcessKnowsThatItStoodStill(t *testing.T) {
	held := newLoop()
	defer held.cancel()
	begun := time.Now()
	held.noteTick(begun)
	assert.Equal(t, held.stoodStill(begun.Add(tickInterval)), time.Duration(0))
	woke := begun.Add(4 * time.Second)
	assert.Equal(t, held.stoodStill(woke), 4*time.Second)
	held.noteTick(woke)
	for after := tickInterval; after < wokeLately; after += tickInterval {
		held.noteTick(woke.Add(after))
		assert.Equal(t, held.stoodStill(woke.Add(after)), 4*time.Second)
	}
	held.noteTick(woke.Add(wokeLately))
	assert.Equal(t, held.stoodStill(woke.Add(wokeLately)), time.Duration(0))
}

// TestAFrozenDaemonStopsWithinItsTime: it is told to stop while it stands still, and
// drains for what is left of its time then.
func TestAFrozenDaemonStopsWithinItsTime(t *testing.T) {
	site := newFollowedSite(t)
	site.store.Put(followedConfiguration(1))
	site.putTarget()
	node := site.start(t, 0, site.store, logr.Discard())
	waitFor(t, "readiness", func() bool { return node.Ready() == "" })
	assert.Equal(t, node.drainBound(time.Now()), node.settings.DrainMaximum())
	node.stillFor.Store(int64(node.settings.DrainMaximum()))
	node.wokeAt.Store(time.Now().Add(time.Minute).UnixNano())
	assert.Equal(t, node.drainBound(time.Now()), time.Duration(0), "its time is over")
	node.plane.counters.LastReceived.Store(time.Now().Add(time.Hour).UnixNano()) // packets keep coming
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	node.Drain(ctx)
	assert.NilError(t, ctx.Err(), "it drained for longer than it may")
}
