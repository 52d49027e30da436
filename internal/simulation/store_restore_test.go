package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/storeview"
)

const (
	// rewriteTime is the time within which operators and targets write again what a restored store
	// has lost; expiryTime is the time after which the entry of a target that doesn't is removed.
	rewriteTime = 1200 * time.Millisecond
	expiryTime  = 3600 * time.Millisecond
)

// restoreStore takes the store down for some time and restores it from a backup that was made
// backupAge before the outage.
func (r *followedRun) restoreStore(outage, backupAge time.Duration) {
	backupAt := r.Clock.Now().Add(-backupAge)
	r.restoredUntil = r.Clock.Now().Add(outage + r.rewriteAfter + expiryTime)
	r.setStoreState(StoreResetting, outage)
	r.Clock.After(outage, func() {
		r.disturbStoreUntil(r.Clock.Now().Add(expiryTime))
		for _, lost := range r.Store.Restore(backupAt) {
			delay := r.rewriteAfter + time.Duration(r.random.Int64N(int64(rewriteTime)))
			if lost.IsRemoval() && !isNotTarget(lost) {
				delay = expiryTime // a stopped target writes nothing; its entry expires
			}
			r.Clock.After(delay, func() { r.Store.Rewrite(lost) })
		}
	})
}

// maybeRestoreStore restores the store from a backup at random, unless entries lost in the previous
// restore are still to be written again.
func (r *followedRun) maybeRestoreStore() {
	if r.Clock.Now().Before(r.restoredUntil) || r.random.IntN(8) > 0 {
		return
	}
	outage := 300*time.Millisecond + time.Duration(r.random.Int64N(int64(4*time.Second)))
	r.restoreStore(outage, time.Second+time.Duration(r.random.Int64N(int64(9*time.Second))))
}

// configureAndDrain writes a new version, drains a number of targets and returns their keys.
func (r *followedRun) configureAndDrain(leaving int) []string {
	keys := append([]string(nil), r.targets[:leaving]...)
	r.configure()
	for range keys {
		r.drainTarget()
	}
	return keys
}

// outdated returns the daemons that don't have the latest version, or still have a leaving target as
// open.
func (r *followedRun) outdated(leaving []string) []int {
	var outdated []int
	for index, daemon := range r.Daemons {
		view := daemon.Core.View()
		isCurrent := view.Configuration().Version == r.version
		for _, key := range leaving {
			target := view.Target(key)
			isCurrent = isCurrent && (target == nil || target.State() != storeview.StateOpen)
		}
		if !isCurrent {
			outdated = append(outdated, index)
		}
	}
	return outdated
}

// TestWritesAfterStoreRestoreTakeEffect checks that writes take effect although a restored store
// reuses revision numbers that daemons have already seen.
func TestWritesAfterStoreRestoreTakeEffect(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		for range 3 {
			for range 4 {
				run.Clock.Advance(2 * time.Second)
				run.configure()
				run.addTarget()
			}
			run.restoreStore(2500*time.Millisecond, 8*time.Second)
			run.Clock.Advance(9 * time.Second)
			leaving := run.configureAndDrain(2)
			run.Clock.Advance(convergenceBound)
			assert.Equal(t, len(run.outdated(leaving)), 0, "seed %d: daemons %v do not have version %d, or still have leaving targets as open",
				seed, run.outdated(leaving), run.version)
		}
		run.verifyConverged()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestStoreRestoreRevertsNothing checks that daemons keep newer entries when the store is restored
// from an older backup, until their writers have written them again.
func TestStoreRestoreRevertsNothing(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		run.Clock.Advance(6 * time.Second)
		leaving := run.configureAndDrain(3)
		run.Store.Evacuate(testZones[0])
		run.addTarget()
		started := run.targets[len(run.targets)-1]
		run.Clock.Advance(convergenceBound)
		assert.Equal(t, len(run.outdated(leaving)), 0, "seed %d", seed)
		run.restoreStore(500*time.Millisecond, 5*time.Second)
		for range 60 {
			run.Clock.Advance(checkInterval)
			assert.Equal(t, len(run.outdated(leaving)), 0, "seed %d", seed)
			for index, daemon := range run.Daemons {
				view := daemon.Core.View()
				assert.Equal(t, view.Target(started).State(), storeview.StateOpen, "seed %d, daemon %d", seed, index)
				assert.DeepEqual(t, evacuatedZones(view), []string{testZones[0]})
			}
		}
		run.verifyConverged()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestDaemonStartedAfterRestoreSyncsFromPeers restarts every second daemon while the store
// holds only the backup. They must get the newer entries from peers.
func TestDaemonStartedAfterRestoreSyncsFromPeers(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(20) {
		run := startFollowedRun(seed, followed.DefaultFleetConfig())
		run.Clock.Advance(6 * time.Second)
		leaving := run.configureAndDrain(3)
		run.Clock.Advance(convergenceBound)
		run.rewriteAfter = 3 * time.Second
		run.restoreStore(500*time.Millisecond, 5*time.Second)
		run.Clock.Advance(600 * time.Millisecond)
		for index := 0; index < testDaemons; index += 2 {
			run.restart(index, 300*time.Millisecond)
		}
		run.Clock.Advance(300*time.Millisecond + 1500*time.Millisecond)
		assert.Equal(t, len(run.outdated(leaving)), 0, "seed %d: daemons %v", seed, run.outdated(leaving))
		run.verifyConverged()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestRestoresConvergeWithinBoundUnderFaults adds restores to the fault schedules: updates
// arrive within the bound, no view reverts, and all views converge with the store.
func TestRestoresConvergeWithinBoundUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, first uint64) {
		for seed := first * schedulesPerSeed; seed < (first+1)*schedulesPerSeed; seed++ {
			run := startFollowedRun(seed, followed.DefaultFleetConfig())
			run.restoresStore = true
			run.issuesOrders = seed%2 == 0
			run.simulate(scheduleSeconds)
			run.verifyConverged()
			assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		}
	})
}

// TestFleetStartsWithEmptyRestoredStore starts a fleet that never had a configuration
// beside an empty store in a later epoch.
func TestFleetStartsWithEmptyRestoredStore(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(10) {
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
		run.Clock.Advance(convergenceBound)
		assert.Equal(t, len(run.outdated(nil)), 0, "seed %d", seed)
		run.restoreStore(2*time.Second, 3*time.Second)
		run.Clock.Advance(7 * time.Second)
		run.configure()
		run.verifyConverged()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// TestLargeFleetDetectsStoreRestore checks that every daemon enters the new epoch within the
// convergence bound, and that updates spread meanwhile. Each daemon needs a full snapshot, as
// it cannot know which entries the backup lacks.
func TestLargeFleetDetectsStoreRestore(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("hundreds of daemons take minutes under the race detector; a seeded model has no races")
	}
	const convergence = 8 * time.Second
	run := newColdStart(1, *fleetSize, largeTargets, followed.FleetConfigFor(convergence))
	run.Links.TargetBytes = 16 * 300 // as large as 10,000 targets
	run.Links.SnapshotBytes = 300 << 10
	run.Links.ConfigurationBytes = 20 << 10
	run.Clock.Advance(15 * time.Second)
	calls := run.Store.Calls
	run.restoreStore(time.Second, 5*time.Second)
	run.Clock.Advance(1500 * time.Millisecond)
	run.configure()
	writtenAt := run.Clock.Now()
	activeAfter, enteredAfter := time.Duration(0), time.Duration(0)
	for duration := time.Duration(0); duration < 2*convergence && enteredAfter == 0; duration = run.Clock.Now().Sub(writtenAt) {
		run.Clock.Advance(checkInterval)
		if activeAfter == 0 && len(run.outdated(nil)) == 0 {
			activeAfter = run.Clock.Now().Sub(writtenAt)
		}
		if run.allInEpoch(1) {
			enteredAfter = run.Clock.Now().Sub(writtenAt)
		}
	}
	t.Logf("%d daemons: next version active after %s, epoch entered by all after %s, %d calls",
		*fleetSize, activeAfter, enteredAfter, run.Store.Calls-calls)
	assert.Assert(t, activeAfter > 0 && activeAfter <= time.Second, "active after %s", activeAfter)
	assert.Assert(t, enteredAfter > 0 && enteredAfter <= convergence, "epoch entered after %s", enteredAfter)
}

func (r *followedRun) allInEpoch(epoch uint64) bool {
	for _, daemon := range r.Daemons {
		if storeview.EpochOf(daemon.Core.View().Revision()) < epoch {
			return false
		}
	}
	return true
}

// restoreStoreDuringFlows takes the store down and restores it from a backup. Operators and running
// targets write lost entries again; entries of other targets expire.
func (r *flowRun) restoreStoreDuringFlows(outage, backupAge time.Duration) {
	backupAt := r.Clock.Now().Add(-backupAge)
	r.setStoreState(StoreResetting, outage)
	r.Clock.After(outage, func() {
		for _, lost := range r.Store.Restore(backupAt) {
			isExpiring := lost.IsRemoval() || lost.Target != nil && !r.isAlive(lost.Key)
			delay := time.Duration(r.random.Int64N(int64(rewriteTime)))
			if isExpiring {
				delay = expiryTime
				lost = storeview.Entry{Key: lost.Key}
			}
			r.Clock.After(delay, func() { r.Store.Rewrite(lost) })
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

// TestFlowInvariantsHoldDuringStoreRestores adds restores to the flow schedules: no flow goes to
// another service or to a target that left, and no flow of a live target is reset.
func TestFlowInvariantsHoldDuringStoreRestores(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startFlowRun(seed)
		for at := 5 * time.Second; at < flowSeconds*time.Second; at += 11 * time.Second {
			run.Clock.After(at, func() {
				outage := 300*time.Millisecond + time.Duration(run.random.Int64N(int64(3*time.Second)))
				run.restoreStoreDuringFlows(outage, time.Second+time.Duration(run.random.Int64N(int64(6*time.Second))))
			})
		}
		run.simulate()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		assert.Assert(t, run.Opened > run.Begun/2, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
	})
}
