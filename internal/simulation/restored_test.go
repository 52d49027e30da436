package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/storeview"
)

const (
	// rewriteSpan is the time within which operators and targets write again what a restored store
	// has lost; expirySpan is the time after which the entry of a target that doesn't is removed.
	rewriteSpan = 1200 * time.Millisecond
	expirySpan  = 3600 * time.Millisecond
)

// restoreStore takes the store down for some time and restores it from a backup that was made age
// before the outage.
func (r *followedRun) restoreStore(away, age time.Duration) {
	copiedAt := r.Clock.Now().Add(-age)
	r.restoredUntil = r.Clock.Now().Add(away + r.rewriteAfter + expirySpan)
	r.disturb(StoreBroken, away)
	r.Clock.After(away, func() {
		r.troubleStoreUntil(r.Clock.Now().Add(expirySpan))
		for _, lost := range r.Store.Restore(copiedAt) {
			delay := r.rewriteAfter + time.Duration(r.random.Int64N(int64(rewriteSpan)))
			if lost.IsRemoval() && !isNoTarget(lost) {
				delay = expirySpan // a stopped target writes nothing; its entry expires
			}
			r.Clock.After(delay, func() { r.Store.WriteAgain(lost) })
		}
	})
}

// someRestoration restores the store from a backup at random, unless entries lost in the previous
// restore are still to be written again.
func (r *followedRun) someRestoration() {
	if r.Clock.Now().Before(r.restoredUntil) || r.random.IntN(8) > 0 {
		return
	}
	away := 300*time.Millisecond + time.Duration(r.random.Int64N(int64(4*time.Second)))
	r.restoreStore(away, time.Second+time.Duration(r.random.Int64N(int64(9*time.Second))))
}

// changeAndLeave writes a new version, drains a number of targets and returns their keys.
func (r *followedRun) changeAndLeave(leaving int) []string {
	keys := append([]string(nil), r.targets[:leaving]...)
	r.configure()
	for range keys {
		r.drainTarget()
	}
	return keys
}

// differing returns the daemons that don't have the latest version, or take a draining target for
// open.
func (r *followedRun) differing(leaving []string) []int {
	var differing []int
	for index, daemon := range r.Daemons {
		view := daemon.Core.View()
		isCurrent := view.Configuration().Version == r.version
		for _, key := range leaving {
			target := view.Target(key)
			isCurrent = isCurrent && (target == nil || target.State() != storeview.StateOpen)
		}
		if !isCurrent {
			differing = append(differing, index)
		}
	}
	return differing
}

// TestWhatARestoredStoreTakesIsInForce checks that writes take effect although a restored store
// reuses revision numbers that daemons have already seen.
func TestWhatARestoredStoreTakesIsInForce(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		for range 3 {
			for range 4 {
				run.Clock.Advance(2 * time.Second)
				run.configure()
				run.addTarget()
			}
			run.restoreStore(2500*time.Millisecond, 8*time.Second)
			run.Clock.Advance(9 * time.Second)
			leaving := run.changeAndLeave(2)
			run.Clock.Advance(convergeSpan)
			assert.Equal(t, len(run.differing(leaving)), 0, "seed %d: daemons %v do not have version %d, or take draining targets for open",
				seed, run.differing(leaving), run.version)
		}
		run.settle()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestACopyTakesNothingBack checks that daemons keep newer entries when the store is restored from
// an older backup, until their writers have written them again.
func TestACopyTakesNothingBack(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		run.Clock.Advance(6 * time.Second)
		leaving := run.changeAndLeave(3)
		run.Store.Evacuate(testZones[0])
		run.addTarget()
		started := run.targets[len(run.targets)-1]
		run.Clock.Advance(convergeSpan)
		assert.Equal(t, len(run.differing(leaving)), 0, "seed %d", seed)
		run.restoreStore(500*time.Millisecond, 5*time.Second)
		for range 60 {
			run.Clock.Advance(checkStep)
			assert.Equal(t, len(run.differing(leaving)), 0, "seed %d", seed)
			for index, daemon := range run.Daemons {
				view := daemon.Core.View()
				assert.Equal(t, view.Target(started).State(), storeview.StateOpen, "seed %d, daemon %d", seed, index)
				assert.DeepEqual(t, evacuatedIn(view), []string{testZones[0]})
			}
		}
		run.settle()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestADaemonThatStartsBesideACopyLearnsWhatPeersKnow restarts every second daemon while the store
// holds only the backup. They must get the newer entries from peers.
func TestADaemonThatStartsBesideACopyLearnsWhatPeersKnow(t *testing.T) {
	t.Parallel()
	for seed := range seeds(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		run.Clock.Advance(6 * time.Second)
		leaving := run.changeAndLeave(3)
		run.Clock.Advance(convergeSpan)
		run.rewriteAfter = 3 * time.Second
		run.restoreStore(500*time.Millisecond, 5*time.Second)
		run.Clock.Advance(600 * time.Millisecond)
		for index := 0; index < testDaemons; index += 2 {
			run.restart(index, 300*time.Millisecond)
		}
		run.Clock.Advance(300*time.Millisecond + 1500*time.Millisecond)
		assert.Equal(t, len(run.differing(leaving)), 0, "seed %d: daemons %v", seed, run.differing(leaving))
		run.settle()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestRestorationsKeepTheBoundsUnderEverySchedule adds restores to the fault schedules: updates
// arrive within the bound, no view reverts, and all views converge with the store.
func TestRestorationsKeepTheBoundsUnderEverySchedule(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, first uint64) {
		for seed := first * followedShare; seed < (first+1)*followedShare; seed++ {
			run := startFollowedRun(seed, followed.DefaultFleetConfig())
			run.restores = true
			run.givesOrders = seed%2 == 0
			run.play(scheduleSeconds)
			run.settle()
			assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		}
	})
}

// TestAFleetStartsBesideAnEmptyStoreThatWasRestored starts a fleet that never had a configuration
// beside an empty store in a later epoch.
func TestAFleetStartsBesideAnEmptyStoreThatWasRestored(t *testing.T) {
	t.Parallel()
	for seed := range seeds(10) {
		run := newFollowedRun(seed, NewFollowedFleet(seed, testDaemons, testZones, followed.DefaultFleetConfig(), DefaultNetworkConfig()))
		run.Store.Restore(run.Clock.Now())
		for index := range run.Daemons {
			run.Start(index)
		}
		run.Clock.Advance(2 * time.Second)
		calls := run.Store.Calls
		assert.Assert(t, calls < 100*testDaemons, "seed %d: %d calls", seed, calls)
		run.configure()
		for range 4 {
			run.addTarget()
		}
		run.Clock.Advance(convergeSpan)
		assert.Equal(t, len(run.differing(nil)), 0, "seed %d", seed)
		run.restoreStore(2*time.Second, 3*time.Second)
		run.Clock.Advance(7 * time.Second)
		run.configure()
		run.settle()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestALargeFleetLearnsOfARestoration checks that every daemon enters the new epoch within the
// convergence bound, and that updates spread meanwhile. Each daemon needs a full snapshot, as
// nothing tells which entries the backup lacks.
func TestALargeFleetLearnsOfARestoration(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("hundreds of daemons take minutes under the race detector; a seeded model has no races")
	}
	const converge = 8 * time.Second
	run := newColdStart(1, *fleetSize, largeTargets, followed.FleetConfigFor(converge))
	run.Links.TargetBytes = 16 * 300 // as long as 10,000 targets
	run.Links.SnapshotBytes = 300 << 10
	run.Links.ConfigurationBytes = 20 << 10
	run.Clock.Advance(15 * time.Second)
	calls := run.Store.Calls
	run.restoreStore(time.Second, 5*time.Second)
	run.Clock.Advance(1500 * time.Millisecond)
	run.configure()
	writtenAt := run.Clock.Now()
	inForce, entered := time.Duration(0), time.Duration(0)
	for span := time.Duration(0); span < 2*converge && entered == 0; span = run.Clock.Now().Sub(writtenAt) {
		run.Clock.Advance(checkStep)
		if inForce == 0 && len(run.differing(nil)) == 0 {
			inForce = run.Clock.Now().Sub(writtenAt)
		}
		if run.allKnowEpoch(1) {
			entered = run.Clock.Now().Sub(writtenAt)
		}
	}
	t.Logf("%d daemons: next version active after %s, epoch entered by all after %s, %d calls",
		*fleetSize, inForce, entered, run.Store.Calls-calls)
	assert.Assert(t, inForce > 0 && inForce <= time.Second, "active after %s", inForce)
	assert.Assert(t, entered > 0 && entered <= converge, "epoch entered after %s", entered)
}

func (r *followedRun) allKnowEpoch(epoch uint64) bool {
	for _, daemon := range r.Daemons {
		if storeview.EpochOf(daemon.Core.View().Revision()) < epoch {
			return false
		}
	}
	return true
}

// restoreUnderFlows takes the store down and restores it from a backup. Operators and running
// targets write lost entries again; entries of other targets expire.
func (r *flowRun) restoreUnderFlows(away, age time.Duration) {
	copiedAt := r.Clock.Now().Add(-age)
	r.disturbStore(StoreBroken, away)
	r.Clock.After(away, func() {
		for _, lost := range r.Store.Restore(copiedAt) {
			isExpiring := lost.IsRemoval() || lost.Target != nil && !r.isAlive(lost.Key)
			delay := time.Duration(r.random.Int64N(int64(rewriteSpan)))
			if isExpiring {
				delay = expirySpan
				lost = storeview.Entry{Key: lost.Key}
			}
			r.Clock.After(delay, func() { r.Store.WriteAgain(lost) })
		}
	})
}

func (r *flowRun) isAlive(key string) bool {
	for _, target := range r.targets {
		if target.Key == key && target.Alive {
			return true
		}
	}
	return false
}

// TestFlowsKeepTheRulesWhileTheStoreIsRestored adds restores to the flow schedules: no flow goes to
// another service or to a target that left, and no flow of a live target is reset.
func TestFlowsKeepTheRulesWhileTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startFlowRun(seed)
		for at := 5 * time.Second; at < flowSeconds*time.Second; at += 11 * time.Second {
			run.Clock.After(at, func() {
				away := 300*time.Millisecond + time.Duration(run.random.Int64N(int64(3*time.Second)))
				run.restoreUnderFlows(away, time.Second+time.Duration(run.random.Int64N(int64(6*time.Second))))
			})
		}
		run.play()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		assert.Assert(t, run.Opened > run.Begun/2, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
	})
}
