package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/membership"
)

const (
	mixedDaemons = 60
	// One in strongInterval machines has the capacity for roles.
	strongInterval = 10
	// maxCallsPerSecond limits the calls of all daemons to a healthy store while strong daemons
	// fail.
	maxCallsPerSecond = 20
)

// startMixedRun starts a fleet of a few strong machines and many weak ones.
func startMixedRun(seed uint64, config followed.FleetConfig) *readersRun {
	fleet := NewFollowedFleet(seed, mixedDaemons, testZones, config, DefaultNetworkConfig())
	fleet.Describe = func(daemon int, self *membership.Member) {
		self.Link, self.Processor, self.Memory = 10, 144, 144
		if daemon%strongInterval == 0 {
			self.Link, self.Processor, self.Memory = 200, 800, 536
		}
	}
	run := &readersRun{followedRun: newFollowedRun(seed, fleet)}
	run.configure()
	for range 12 {
		run.addTarget()
	}
	for index := range run.Daemons {
		run.Start(index)
	}
	run.Clock.Advance(5 * time.Second)
	return run
}

// maxUpdateLatency writes several updates, one after another, and returns the longest time that one
// took to reach all daemons.
func (r *readersRun) maxUpdateLatency() time.Duration {
	longest := time.Duration(0)
	for range 10 {
		r.Clock.Advance(1100 * time.Millisecond)
		r.addTarget()
		revision, written := r.Store.Revision(), r.Clock.Now()
		for r.Clock.Now().Sub(written) < 5*time.Second && !r.allHaveRevision(revision) {
			r.Clock.Advance(time.Millisecond)
		}
		longest = max(longest, r.Clock.Now().Sub(written))
	}
	return longest
}

func (r *readersRun) allHaveRevision(revision uint64) bool {
	for _, daemon := range r.Daemons {
		if daemon.Core != nil && daemon.Core.View().Revision() < revision {
			return false
		}
	}
	return true
}

// TestRelaysSpeedUpUpdates checks that relays spread an update in two hops, while gossip
// alone takes several rounds.
func TestRelaysSpeedUpUpdates(t *testing.T) {
	t.Parallel()
	const within = 50 * time.Millisecond
	config := followed.DefaultFleetConfig()
	config.Follower.Gather = 0
	with := startMixedRun(1, config).maxUpdateLatency()
	config.MinMembersForRelays = 0
	without := startMixedRun(1, config).maxUpdateLatency()
	t.Logf("update latency %s with relays, %s without", with, without)
	assert.Assert(t, with <= within, "%s", with)
	assert.Assert(t, without > within, "%s", without)
}

// disturbStrongDaemon restarts or pauses a strong daemon, or cuts it off from the store, or from the
// store and its peers.
func (r *readersRun) disturbStrongDaemon() {
	daemon := r.random.IntN(mixedDaemons/strongInterval) * strongInterval
	duration := 500*time.Millisecond + time.Duration(r.random.Int64N(int64(6*time.Second)))
	r.noteFailure()
	r.Clock.After(duration, r.noteFailure)
	switch r.random.IntN(4) {
	case 0:
		r.restart(daemon, duration)
	case 1:
		r.Pause(daemon, duration)
	case 2:
		r.markFor(r.unreachable, daemon, duration, false)
	case 3:
		r.markFor(r.unreachable, daemon, duration, false)
		r.markFor(r.partitioned, daemon, duration, true)
		r.Daemons[daemon].DisturbedAt = r.Clock.Now().Add(duration)
	}
}

// TestUpdatesArriveDespiteStrongDaemonFailures checks the update bound and the number of calls
// while strong daemons die, pause or are cut off.
func TestUpdatesArriveDespiteStrongDaemonFailures(t *testing.T) {
	t.Parallel()
	seeds := uint64(6)
	if testing.Short() {
		seeds = 1 // the race detector makes 60 daemons slow; a seeded model has no races
	}
	for seed := range seeds {
		run := startMixedRun(seed, followed.DefaultFleetConfig())
		before, seconds := run.Store.Calls, 60
		run.simulateUpdates(seconds, run.disturbStrongDaemon)
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		calls := run.Store.Calls - before
		t.Logf("seed %d: %d calls in %d s", seed, calls, seconds)
		assert.Assert(t, calls <= maxCallsPerSecond*seconds, "seed %d: %d calls", seed, calls)
	}
}

// failReader fails the current reader once and continues the run.
func (r *readersRun) failReader(fail func(daemon int, duration time.Duration)) {
	const duration = 8 * time.Second
	for index, daemon := range r.Daemons {
		if daemon.Core != nil && daemon.Core.IsReading() {
			fail(index, duration)
		}
	}
	r.noteFailure()
	r.simulateUpdates(int(duration.Seconds()), func() {})
}

// TestFailedStrongReaderIsReplaced covers each kind of failure. It isn't replaced if weak daemons
// wait for strong ones indefinitely.
func TestFailedStrongReaderIsReplaced(t *testing.T) {
	t.Parallel()
	for name, isWaiting := range map[string]bool{"default": false, "weak daemons wait": true} {
		config := followed.DefaultFleetConfig()
		if isWaiting {
			config.MaxConfirmationAge = time.Hour
		}
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				run := startMixedRun(seed, config)
				run.failReader(func(daemon int, duration time.Duration) {
					switch seed {
					case 0:
						run.restart(daemon, duration)
					case 1:
						run.Pause(daemon, duration)
					case 2:
						run.markFor(run.unreachable, daemon, duration, false)
					case 3:
						run.markFor(run.unreachable, daemon, duration, false)
						run.markFor(run.partitioned, daemon, duration, true)
					}
				})
				t.Logf("failure %d: %d violations", seed, len(run.Violations))
				if !isWaiting {
					assert.Equal(t, len(run.Violations), 0, "failure %d: %v", seed, run.Violations)
				} else {
					assert.Assert(t, len(run.Violations) > 0, "failure %d", seed)
				}
			}
		})
	}
}

// maxSentBytes starts all daemons of a fleet at once. It returns the snapshot bytes that the
// busiest daemon sends, and the time until nine tenths have a configuration.
func maxSentBytes(seed uint64, daemons int, config followed.FleetConfig) (bytes int64, ready time.Duration) {
	run := newColdStart(seed, daemons, maxEarlyTargets, config)
	run.Clock.Advance(3 * time.Second)
	for _, sent := range run.Links.SentBytes {
		bytes = max(bytes, sent)
	}
	return bytes, run.readyAfter(0.9)
}

// TestSnapshotLoadSpreadsDuringFleetStart checks that the snapshot bytes of the busiest daemon
// grow by less than the square root of the fleet size, at little cost in start time.
func TestSnapshotLoadSpreadsDuringFleetStart(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("300 daemons take minutes under the race detector; a seeded model has no races")
	}
	for seed := range uint64(3) {
		config := followed.DefaultFleetConfig()
		few, _ := maxSentBytes(seed, 30, config)
		many, ready := maxSentBytes(seed, 300, config)
		config.SnapshotBurst = 0
		without, readyWithout := maxSentBytes(seed, 300, config)
		t.Logf("seed %d: busiest sends %d KB of 30 daemons, %d KB of 300 (nine tenths ready after %s); %d KB without a budget (%s)",
			seed, few>>10, many>>10, ready, without>>10, readyWithout)
		assert.Assert(t, many*many <= 10*few*few, "seed %d", seed)
		assert.Assert(t, many*4 <= without*3, "seed %d", seed)
		assert.Assert(t, ready <= readyWithout+100*time.Millisecond, "seed %d", seed)
	}
}
