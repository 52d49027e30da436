package followed

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// inEpoch sets the epoch of an answer; its revisions are plain store revisions.
func inEpoch(epoch uint64, answer *Answer) *Answer {
	answer.Epoch = epoch
	return answer
}

func TestRevisionsOrderChangesOfAllEpochs(t *testing.T) {
	assert.Assert(t, storeview.NewRevision(1, 2) > storeview.NewRevision(0, 900))
	assert.Assert(t, storeview.NewRevision(1, 3) > storeview.NewRevision(1, 2))
	assert.Equal(t, storeview.NewRevision(0, 7), uint64(7), "a store without epochs has plain revisions")
	assert.Equal(t, storeview.EpochOf(storeview.NewRevision(storeview.MaxEpoch, storeview.MaxChangeNumber)), uint64(storeview.MaxEpoch))
	assert.Equal(t, storeview.ChangeNumberOf(storeview.NewRevision(storeview.MaxEpoch, storeview.MaxChangeNumber)), uint64(storeview.MaxChangeNumber))
}

// After the restore the store's revisions had passed the daemon's, so that its watch succeeded
// but delivered only changes written after that revision, without revisions 8 and 9 of the new
// epoch.
func TestWatchAnsweredByRestoredStoreTriggersList(t *testing.T) {
	follower := newTestFollower()
	watch := startWatching(t, follower)
	output := follower.Step(testStart, inEpoch(1, answered(watch, 11, targetEntry("b", 10), targetEntry("c", 11))))
	assert.Equal(t, follower.View().Revision(), uint64(9), "the changes between are unknown")
	assert.Equal(t, output.Call.Kind, CallList)
	assert.Assert(t, !output.Call.AllowStale, "a stale list may predate the restore")
	output = follower.Step(testStart, inEpoch(1, answered(output.Call, 11,
		configurationEntry(8, 2), targetEntry("a", 9), targetEntry("b", 10), targetEntry("c", 11))))
	assert.Equal(t, follower.View().Configuration().Version, uint64(2))
	assert.Equal(t, follower.View().PresentTargetCount(), 3)
	assert.Equal(t, output.Events[0], Event{EventRestored, "epoch 1 after 0, revision 11 after 9"})
	assert.Equal(t, storeview.ChangeNumberOf(output.Call.AfterRevision), uint64(11))
	assert.Equal(t, storeview.EpochOf(output.Call.AfterRevision), uint64(1))
}

// The daemon learned from a peer of the new epoch while its watch in the old epoch was in
// flight. The answer must not be mistaken for a continuation of the new epoch, or revisions 5 to 9
// would be lost.
func TestWatchFromEarlierEpochIsNoContinuation(t *testing.T) {
	follower := newTestFollower()
	watch := startWatching(t, follower)
	follower.MergeDelta(testStart, &Delta{Until: storeview.NewRevision(1, 4), Entries: []storeview.Entry{configurationEntry(storeview.NewRevision(1, 3), 2)}})
	output := follower.Step(testStart, inEpoch(1, answered(watch, 11, targetEntry("c", 11))))
	assert.Equal(t, follower.View().Revision(), storeview.NewRevision(1, 4))
	assert.Equal(t, output.Call.Kind, CallWatch)
	assert.Equal(t, output.Call.AfterRevision, storeview.NewRevision(1, 4))
}

func TestStaleListOfLaterEpochIsRepeated(t *testing.T) {
	follower := newTestFollower()
	watch := startWatching(t, follower)
	list := follower.Step(testStart, answerWithOutcome(watch, OutcomeHistoryGone))
	for list.Call == nil {
		list = follower.Tick(testStart.Add(time.Second))
	}
	assert.Assert(t, list.Call.AllowStale)
	again := follower.Step(testStart.Add(time.Second), inEpoch(1, answered(list.Call, 5, targetEntry("a", 2)))).Call
	assert.Equal(t, follower.View().Revision(), uint64(9))
	assert.Equal(t, again.Kind, CallList)
	assert.Assert(t, !again.AllowStale)
}

// A watch from revision 0 of an empty store in a later epoch must not be mistaken for one from
// before the restore and retried endlessly.
func TestEmptyStoreOfLaterEpochIsFollowed(t *testing.T) {
	follower := newTestFollower()
	list := follower.Tick(testStart).Call
	confirm := follower.Step(testStart, inEpoch(1, answered(list, 0))).Call
	assert.Equal(t, confirm.AfterRevision, uint64(0))
	watch := follower.Step(testStart, inEpoch(1, answered(confirm, 2, configurationEntry(2, 1)))).Call
	assert.Equal(t, follower.View().Configuration().Version, uint64(1))
	assert.Assert(t, watch == nil || watch.AfterRevision == storeview.NewRevision(1, 2))
	assert.Equal(t, follower.View().Revision(), storeview.NewRevision(1, 2))
}

func TestLostHistoryInLaterEpochTriggersConsistentList(t *testing.T) {
	follower := newTestFollower()
	watch := startWatching(t, follower)
	output := follower.Step(testStart, inEpoch(1, answerWithOutcome(watch, OutcomeHistoryGone)))
	assert.Assert(t, output.Call != nil && output.Call.Kind == CallList)
	assert.Assert(t, !output.Call.AllowStale)
}

func TestAnswerFromEarlierEpochIsIgnored(t *testing.T) {
	follower := newTestFollower()
	watch := startWatching(t, follower)
	follower.MergeDelta(testStart, &Delta{Until: storeview.NewRevision(1, 4), Entries: []storeview.Entry{configurationEntry(storeview.NewRevision(1, 3), 2)}})
	output := follower.Step(testStart, answered(watch, 12, configurationEntry(12, 7), targetEntry("x", 11)))
	assert.Equal(t, follower.View().Configuration().Version, uint64(2), "that version was lost in the restore")
	assert.Equal(t, follower.View().PresentTargetCount(), 0)
	assert.Equal(t, output.Events[0], Event{EventStoreLost, "failed: answer from epoch 0, but epoch 1 is known"})
}

func TestEpochChangeBetweenPagesRestartsList(t *testing.T) {
	follower := newTestFollower()
	call := follower.Tick(testStart).Call
	first := answered(call, 20, targetEntry("a", 18))
	first.More = true
	second := follower.Step(testStart, first).Call
	again := follower.Step(testStart, inEpoch(1, answered(second, 9, targetEntry("b", 8)))).Call
	assert.Equal(t, again.Kind, CallList)
	assert.Equal(t, again.AfterKey, "", "the list restarts")
	confirm := follower.Step(testStart, inEpoch(1, answered(again, 9, configurationEntry(5, 1), targetEntry("b", 8)))).Call
	assert.Equal(t, confirm.Kind, CallWatch)
	assert.Equal(t, follower.View().PresentTargetCount(), 1, "target a was lost in the restore")
}

// A gossiped change of a restored store does not include the changes before it, so they must be
// requested.
func TestDeltaOfLaterEpochIsIncomplete(t *testing.T) {
	follower := newTestFollower()
	startWatching(t, follower)
	since, until := storeview.NewRevision(1, 6), storeview.NewRevision(1, 7)
	_, isComplete := follower.MergeDelta(testStart, &Delta{Since: since, Until: until, Entries: []storeview.Entry{configurationEntry(until, 3)}})
	assert.Assert(t, !isComplete)
	assert.Equal(t, follower.View().Revision(), uint64(9))
	assert.Equal(t, follower.View().Configuration().Version, uint64(3), "the known configuration is active at once")
}

func TestPeerOfEarlierEpochIsSentSnapshot(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.follower.MergeDelta(testStart, &Delta{Until: storeview.NewRevision(1, 4), Entries: []storeview.Entry{configurationEntry(storeview.NewRevision(1, 3), 2)}})
	delta := fleet.Serve(testStart.Add(time.Millisecond), &Pull{Since: 900})
	assert.Equal(t, delta.Since, uint64(0))
	assert.Equal(t, delta.Until, storeview.NewRevision(1, 4))
	assert.Equal(t, len(delta.Entries), 1)
}

// A delta whose base version peers hold from the previous epoch applies there, so that they need
// not pull a snapshot.
func TestDifferenceWithBaseOfEarlierEpochIsApplied(t *testing.T) {
	routes := func(version uint64, ports ...uint16) *storeview.Configuration {
		configuration := &storeview.Configuration{Version: version}
		for _, port := range ports {
			configuration.Routes = append(configuration.Routes, storeview.Route{Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port)})
		}
		return configuration
	}
	reader, peer, other := storeview.New(time.Minute), storeview.New(time.Minute), storeview.New(time.Minute)
	reader.MergeSnapshot(testStart, []storeview.Entry{{Key: "config", Revision: storeview.NewRevision(1, 5), Configuration: routes(3, 1, 2)}}, storeview.NewRevision(1, 5))
	reader.Merge(testStart, []storeview.Entry{{Key: "config", Revision: storeview.NewRevision(1, 6), Configuration: routes(4, 1, 2, 3)}})
	peer.MergeSnapshot(testStart, []storeview.Entry{{Key: "config", Revision: 7, Configuration: routes(3, 1, 2)}}, 9)
	other.MergeSnapshot(testStart, []storeview.Entry{{Key: "config", Revision: 6, Configuration: routes(2, 1)}}, 8)
	steps, found := reader.DifferencesSince(testStart, storeview.NewRevision(1, 5))
	assert.Assert(t, found)
	change := peer.Merge(testStart, steps)
	assert.Assert(t, change.Configuration && !change.LacksBase)
	assert.Equal(t, peer.Configuration().Version, uint64(4))
	change = other.Merge(testStart, steps)
	assert.Assert(t, change.LacksBase, "the daemon holds another version")
	assert.Equal(t, other.Configuration().Version, uint64(2))
}

// The daemon listed a restored store and was then cut off from the store and its peers. After the
// grace period it must keep the earlier state until the store's content is confirmed, since the
// target may have written again that it is draining.
func TestRestoredStateIsNotFinalBeforeConfirmation(t *testing.T) {
	afterRestore := testStart.Add(DefaultConfig().View.RestoreGrace)
	cutOff := func(t *testing.T) *Fleet {
		fleet := newTestFleet(DefaultFleetConfig())
		leaving, copied := stateEntry("a", 12, true), stateEntry("a", storeview.NewRevision(1, 2), false)
		fleet.follower.MergeDelta(testStart, &Delta{Until: 15, Entries: []storeview.Entry{configurationEntry(1, 1), leaving}})
		fleet.follower.MergeDelta(testStart, &Delta{Until: storeview.NewRevision(1, 10), Entries: []storeview.Entry{configurationEntry(storeview.NewRevision(1, 1), 1), copied}})
		fleet.Tick(afterRestore)
		assert.Equal(t, fleet.View().Target("a").State(), storeview.StateDraining)
		return fleet
	}
	confirm := func(fleet *Fleet, revision uint64) {
		fleet.handleDigest(afterRestore, afterRestore, peerAddress(1), Digest{Revision: revision, IsConfirmed: true})
		fleet.Tick(afterRestore)
	}
	t.Run("the writer wrote again", func(t *testing.T) {
		fleet := cutOff(t)
		again := Delta{Since: storeview.NewRevision(1, 10), Until: storeview.NewRevision(1, 11), Entries: []storeview.Entry{stateEntry("a", storeview.NewRevision(1, 11), true)}}
		fleet.follower.MergeDelta(afterRestore, &again)
		confirm(fleet, storeview.NewRevision(1, 11))
		assert.Equal(t, fleet.View().Target("a").State(), storeview.StateDraining)
	})
	t.Run("the writer did not", func(t *testing.T) {
		fleet := cutOff(t)
		confirm(fleet, storeview.NewRevision(1, 10))
		assert.Equal(t, fleet.View().Target("a").State(), storeview.StateOpen)
	})
}
