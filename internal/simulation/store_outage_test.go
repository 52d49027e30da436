package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

// callsDuringOutage returns the number of calls made by the daemons from the start of a store
// outage until some time after it.
func callsDuringOutage(t *testing.T, daemons int, config followed.FleetConfig) int {
	t.Helper()
	run := newFollowedRun(1, NewFollowedFleet(1, daemons, testZones, config, DefaultNetworkConfig()))
	run.configure()
	run.addTarget()
	for index := range run.Daemons {
		run.Start(index)
	}
	run.Clock.Advance(8 * time.Second)
	before := run.Store.Calls
	run.Store.State = StoreUnavailable
	run.Clock.Advance(outageDuration)
	run.Store.State = StoreHealthy
	run.configure()
	acknowledged := run.Store.Revision()
	run.Clock.Advance(convergenceBound)
	for index, daemon := range run.Daemons {
		assert.Assert(t, daemon.Core.View().Revision() >= acknowledged, "daemon %d of %d lacks a revision acknowledged %s ago", index, daemons, convergenceBound)
	}
	return run.Store.Calls - before
}

const (
	outageDuration = 7 * time.Second
	// maxOutageCallsPerSecond limits the calls of all daemons to an unavailable store: one every 25
	// ms in turn, and at most as many retries.
	maxOutageCallsPerSecond = 100
)

// TestOutageCallsIndependentOfFleetSize checks that the number of calls depends on the duration of
// an outage, not on the number of daemons.
func TestOutageCallsIndependentOfFleetSize(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{20, 80, 240} {
		if testing.Short() && daemons > 100 {
			continue
		}
		calls := callsDuringOutage(t, daemons, followed.DefaultFleetConfig())
		t.Logf("%d daemons: %d calls", daemons, calls)
		assert.Assert(t, calls <= maxOutageCallsPerSecond*int(outageDuration.Seconds()), "%d daemons: %d calls", daemons, calls)
	}
}

// TestOutageCallsGrowWithFleetSizeWithoutStaggering disables the staggering by rank: all daemons
// call as soon as their view is stale.
func TestOutageCallsGrowWithFleetSizeWithoutStaggering(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("240 daemons take long under the race detector; a seeded model has no races")
	}
	config := followed.DefaultFleetConfig()
	config.ReadDelayPerMember = 0
	config.Follower.BackoffPerMember = 0
	assert.Assert(t, callsDuringOutage(t, 240, config) > maxOutageCallsPerSecond*int(outageDuration.Seconds()))
}
