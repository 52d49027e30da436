package followed

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// Of two stale answers the second may be the older one, and changes between them would be lost.
func TestOnlyFirstListPageMayBeStale(t *testing.T) {
	t.Run("in two parts", func(t *testing.T) {
		follower := newSlowFollower(DefaultConfig())
		first := follower.Tick(testStart).Call
		assert.Assert(t, first.AllowStale)
		rest := follower.Step(testStart, answered(first, 105, targetEntry("a", 3), targetEntry("b", 105))).Call
		assert.Assert(t, rest.WithoutTargets && !rest.AllowStale)
	})
	t.Run("in pages", func(t *testing.T) {
		follower := newTestFollower()
		page := answered(follower.Tick(testStart).Call, 30, configurationEntry(9, 1))
		page.More = true
		second := follower.Step(testStart, page).Call
		assert.Assert(t, second.AfterKey != "" && !second.AllowStale)
	})
}

// A view with a gossiped configuration and the targets of an early list is not a snapshot and
// must not end another daemon's list.
func TestGossipedConfigurationIsNoSnapshot(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.follower.view.Merge(testStart, []storeview.Entry{configurationEntry(30, 1), targetEntry("a", 3)})
	assert.Assert(t, fleet.lacksSnapshot())
	receiver := newTestFollower()
	receiver.Tick(testStart)
	receiver.MergeDelta(testStart, &Delta{Entries: []storeview.Entry{configurationEntry(30, 1), targetEntry("a", 3)}})
	assert.Equal(t, receiver.phase, phaseListing)
}
