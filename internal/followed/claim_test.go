package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/pause"
)

func TestAClaimIsALease(t *testing.T) {
	const lifetime = time.Second
	now := testStart
	t.Run("it expires unless the holder renews it", func(t *testing.T) {
		held := claim{rank: 5, at: now}
		assert.Assert(t, held.isAlive(now.Add(lifetime-1), lifetime))
		assert.Assert(t, !held.isAlive(now.Add(lifetime), lifetime))
	})
	t.Run("a higher rank replaces it, a lower one does not", func(t *testing.T) {
		held := claim{rank: 5, at: now}
		held.offer(now, claim{rank: 4, at: now}, lifetime)
		assert.Equal(t, held.rank, uint64(5))
		held.offer(now, claim{rank: 6, at: now.Add(-lifetime / 2)}, lifetime)
		assert.Equal(t, held.rank, uint64(6))
	})
	t.Run("a lower rank replaces it after it expires", func(t *testing.T) {
		held := claim{rank: 5, at: now}
		later := now.Add(lifetime)
		held.offer(later, claim{rank: 4, at: later}, lifetime)
		assert.Equal(t, held.rank, uint64(4))
	})
	t.Run("an older renewal is ignored", func(t *testing.T) {
		held := claim{rank: 5, at: now}
		held.offer(now, claim{rank: 5, at: now.Add(-lifetime / 2)}, lifetime)
		assert.Equal(t, held.at, now)
	})
	t.Run("the holder keeps it when its capacity is reassessed", func(t *testing.T) {
		held := claim{rank: 5, at: now}
		held.offer(now, claim{rank: 5 | strongRank, at: now}, lifetime)
		assert.Assert(t, held.isOf(5))
	})
}

// A peer's digest that waited in the socket during a pause must not count as a recent
// confirmation.
func TestWhatWaitedWhileADaemonStoodStillIsNotFresh(t *testing.T) {
	heard := func(t *testing.T, pause time.Duration) *Fleet {
		t.Helper()
		fleet := newTestFleet(DefaultFleetConfig())
		fleet.Tick(testStart)
		woken := testStart.Add(pause)
		fleet.noteTime(woken)
		fleet.hear(woken, woken, peerAddress(1), Digest{IsConfirmed: true, Reader: 7 | strongRank})
		return fleet
	}
	assert.Assert(t, heard(t, 100*time.Millisecond).hearsReader(testStart.Add(100*time.Millisecond)))
	fleet := heard(t, 5*time.Second)
	assert.Assert(t, !fleet.hearsReader(testStart.Add(5*time.Second)))
	assert.Assert(t, fleet.suppliedAt.IsZero())
}

// An answer that waited during a pause confirms the view only as of the time of the call.
func TestAnAnswerThatWaitedConfirmsFromItsCall(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.isSeed = true
	listing := fleet.Tick(testStart).Call
	confirming := fleet.StepAnswer(testStart, answered(listing, 1, configurationEntry(1, 1))).Call
	woken := testStart.Add(2 * pause.After)
	fleet.StepAnswer(woken, answered(confirming, 1))
	assert.Equal(t, fleet.ConfirmedAt(), testStart)
}

// After a peer has answered a pull with all it has, the next pull goes to another peer that is
// ahead.
func TestAPeerThatToldAllIsNotAskedAgain(t *testing.T) {
	config := DefaultFleetConfig()
	fleet := newTestFleet(config)
	pulls := fleet.Tick(testStart).Pulls
	fleet.StepDelta(testStart, pulls[0].Number, wholeDelta())
	now := testStart
	hear := func(peer byte, revision uint64) {
		t.Helper()
		fleet.hear(now, now, peerAddress(peer), Digest{Revision: revision})
	}
	pullAfter := func(span time.Duration) *Pull {
		t.Helper()
		now = now.Add(span)
		asked := fleet.Tick(now).Pulls
		assert.Equal(t, len(asked), 1)
		return asked[0]
	}
	clear(fleet.pulls)
	fleet.reconcileAt = now.Add(time.Hour)
	hear(1, 10)
	first := pullAfter(config.PullRetry + config.PullDelay)
	assert.Equal(t, first.From, peerAddress(1))
	hear(2, 12)
	fleet.StepDelta(now, first.Number, &Delta{Since: 9, Until: 9})
	hear(2, 12)
	assert.Equal(t, pullAfter(config.PullRetry+config.PullDelay).From, peerAddress(2))
}

// A reader whose watch fails retries at once and keeps reading until its lease expires, since
// the other daemons wait until then.
func TestAReaderWhoseWatchWasCutAsksAgainAtOnce(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.isSeed = true
	listing := fleet.Tick(testStart).Call
	confirming := fleet.StepAnswer(testStart, answered(listing, 1, configurationEntry(1, 1))).Call
	watch := fleet.StepAnswer(testStart, answered(confirming, 1)).Call
	assert.Assert(t, watch.Wait > 0 && fleet.holdsClaim(testStart))
	fleet.ranksFirst = false // other daemons rank higher
	fail := func(call *Call, at time.Time) {
		fleet.suppliedAt = at
		fleet.StepAnswer(at, &Answer{Number: call.Number, Outcome: OutcomeFailed, Detail: "cut"})
	}
	now := testStart.Add(100 * time.Millisecond)
	fail(watch, now)
	assert.Assert(t, fleet.IsReading())
	again := fleet.Tick(now.Add(100 * time.Millisecond)).Call
	assert.Assert(t, again != nil && again.Kind == CallWatch && again.Wait == 0, "missed changes are requested without waiting")
	fail(again, now.Add(200*time.Millisecond))
	assert.Assert(t, fleet.IsReading())
	ranOut := testStart.Add(fleet.config.ClaimFor)
	fleet.suppliedAt = ranOut
	fleet.Tick(ranOut)
	assert.Assert(t, !fleet.IsReading())
}
