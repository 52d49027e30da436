package storeview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A newly started daemon must pass on removals of entries that it never held, as peers may still
// hold them.
func TestTombstonesOfUnknownEntriesReachPeers(t *testing.T) {
	started := New(time.Minute)
	started.MergeSnapshot(testStart, []Entry{configurationEntry(5, 1)}, 5)
	started.Merge(testStart, []Entry{removalEntry("a", 6)})
	started.AdvanceTo(6)
	peer := New(time.Minute)
	peer.MergeSnapshot(testStart, []Entry{configurationEntry(5, 1), targetEntry("a", 3)}, 5)
	peer.Merge(testStart, started.EntriesSince(testStart, peer.Revision(), peer.Held()))
	present, _ := stateOf(peer, "a")
	assert.Assert(t, !present)
	assert.Equal(t, len(started.EntriesSince(testStart, 6, Held{Revision: 5})), 0)
	assert.Equal(t, len(started.EntriesSince(testStart, 0, Held{})), 1, "a full list implies removals and must not contain any")
}
