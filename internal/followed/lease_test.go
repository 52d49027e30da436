package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/pause"
)

func TestReaderLease(t *testing.T) {
	const lifetime = time.Second
	now := testStart
	t.Run("it expires unless the holder renews it", func(t *testing.T) {
		held := lease{rank: 5, renewedAt: now}
		assert.Assert(t, held.isValid(now.Add(lifetime-1), lifetime))
		assert.Assert(t, !held.isValid(now.Add(lifetime), lifetime))
	})
	t.Run("a higher rank replaces it, a lower one does not", func(t *testing.T) {
		held := lease{rank: 5, renewedAt: now}
		held.merge(now, lease{rank: 4, renewedAt: now}, lifetime)
		assert.Equal(t, held.rank, uint64(5))
		held.merge(now, lease{rank: 6, renewedAt: now.Add(-lifetime / 2)}, lifetime)
		assert.Equal(t, held.rank, uint64(6))
	})
	t.Run("a lower rank replaces it after it expires", func(t *testing.T) {
		held := lease{rank: 5, renewedAt: now}
		later := now.Add(lifetime)
		held.merge(later, lease{rank: 4, renewedAt: later}, lifetime)
		assert.Equal(t, held.rank, uint64(4))
	})
	t.Run("an older renewal is ignored", func(t *testing.T) {
		held := lease{rank: 5, renewedAt: now}
		held.merge(now, lease{rank: 5, renewedAt: now.Add(-lifetime / 2)}, lifetime)
		assert.Equal(t, held.renewedAt, now)
	})
	t.Run("the holder keeps it when its capacity is reassessed", func(t *testing.T) {
		held := lease{rank: 5, renewedAt: now}
		held.merge(now, lease{rank: 5 | strongRankBit, renewedAt: now}, lifetime)
		assert.Assert(t, held.isHeldBy(5))
	})
}

// A peer's digest that waited in the socket during a pause must not count as a recent
// confirmation.
func TestDigestDelayedByPauseIsNotFresh(t *testing.T) {
	fleetAfterPause := func(t *testing.T, pause time.Duration) *Fleet {
		t.Helper()
		fleet := newTestFleet(DefaultFleetConfig())
		fleet.Tick(testStart)
		resumedAt := testStart.Add(pause)
		fleet.detectPause(resumedAt)
		fleet.handleDigest(resumedAt, resumedAt, peerAddress(1), Digest{IsConfirmed: true, Reader: 7 | strongRankBit})
		return fleet
	}
	assert.Assert(t, fleetAfterPause(t, 100*time.Millisecond).hasOtherReader(testStart.Add(100*time.Millisecond)))
	fleet := fleetAfterPause(t, 5*time.Second)
	assert.Assert(t, !fleet.hasOtherReader(testStart.Add(5*time.Second)))
	assert.Assert(t, fleet.peerConfirmedAt.IsZero())
}

// An answer that waited during a pause confirms the view only as of the time of the call.
func TestAnswerDelayedByPauseConfirmsAsOfCall(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.isSeed = true
	listing := fleet.Tick(testStart).Call
	confirming := fleet.StepAnswer(testStart, answered(listing, 1, configurationEntry(1, 1))).Call
	resumedAt := testStart.Add(2 * pause.Threshold)
	fleet.StepAnswer(resumedAt, answered(confirming, 1))
	assert.Equal(t, fleet.ConfirmedAt(), testStart)
}

// After a peer has answered a pull with all it has, the next pull goes to another peer that is
// ahead.
func TestPeerWithNothingMoreIsNotPulledAgain(t *testing.T) {
	config := DefaultFleetConfig()
	fleet := newTestFleet(config)
	pulls := fleet.Tick(testStart).Pulls
	fleet.StepDelta(testStart, pulls[0].Number, snapshotDelta())
	now := testStart
	handleDigest := func(peer byte, revision uint64) {
		t.Helper()
		fleet.handleDigest(now, now, peerAddress(peer), Digest{Revision: revision})
	}
	pullAfter := func(delay time.Duration) *Pull {
		t.Helper()
		now = now.Add(delay)
		newPulls := fleet.Tick(now).Pulls
		assert.Equal(t, len(newPulls), 1)
		return newPulls[0]
	}
	clear(fleet.pulls)
	fleet.reconcileAt = now.Add(time.Hour)
	handleDigest(1, 10)
	first := pullAfter(config.PullRetry + config.PullDelay)
	assert.Equal(t, first.From, peerAddress(1))
	handleDigest(2, 12)
	fleet.StepDelta(now, first.Number, &Delta{Since: 9, Until: 9})
	handleDigest(2, 12)
	assert.Equal(t, pullAfter(config.PullRetry+config.PullDelay).From, peerAddress(2))
}

// A reader whose watch fails retries at once and keeps reading until its lease expires, since
// the other daemons wait until then.
func TestReaderRetriesFailedWatchUntilLeaseExpires(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.isSeed = true
	listing := fleet.Tick(testStart).Call
	confirming := fleet.StepAnswer(testStart, answered(listing, 1, configurationEntry(1, 1))).Call
	watch := fleet.StepAnswer(testStart, answered(confirming, 1)).Call
	assert.Assert(t, watch.Wait > 0 && fleet.holdsReaderLease(testStart))
	fleet.isTopRanked = false // other daemons rank higher
	fail := func(call *Call, at time.Time) {
		fleet.peerConfirmedAt = at
		fleet.StepAnswer(at, &Answer{Number: call.Number, Outcome: OutcomeFailed, Detail: "cut"})
	}
	now := testStart.Add(100 * time.Millisecond)
	fail(watch, now)
	assert.Assert(t, fleet.IsReading())
	again := fleet.Tick(now.Add(100 * time.Millisecond)).Call
	assert.Assert(t, again != nil && again.Kind == CallWatch && again.Wait == 0, "missed changes are requested without waiting")
	fail(again, now.Add(200*time.Millisecond))
	assert.Assert(t, fleet.IsReading())
	expiredAt := testStart.Add(fleet.config.ReaderLeaseDuration)
	fleet.peerConfirmedAt = expiredAt
	fleet.Tick(expiredAt)
	assert.Assert(t, !fleet.IsReading())
}
