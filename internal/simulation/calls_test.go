package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

// callsOfOutage returns how many calls daemons make of a store that refuses all for a
// while, from when it is gone until some time after its return.
func callsOfOutage(t *testing.T, daemons int, config followed.FleetConfig) int {
	t.Helper()
	run := newFollowedRun(1, NewFollowedFleet(1, daemons, testZones, config, DefaultNetworkConfig()))
	run.configure()
	run.addTarget()
	for index := range run.Daemons {
		run.Start(index)
	}
	run.Clock.Advance(8 * time.Second)
	before := run.Store.Calls
	run.Store.State = StoreRefusing
	run.Clock.Advance(outageSpan)
	run.Store.State = StoreWell
	run.configure()
	acknowledged := run.Store.Revision()
	run.Clock.Advance(convergeSpan)
	for index, daemon := range run.Daemons {
		assert.Assert(t, daemon.Core.View().Revision() >= acknowledged, "daemon %d of %d lacks what was acknowledged %s ago", index, daemons, convergeSpan)
	}
	return run.Store.Calls - before
}

const (
	outageSpan = 7 * time.Second
	// callsPerSecond is what all daemons together may make of a store that is away:
	// one each 25 ms by turns, and as many retries at most.
	callsPerSecond = 100
)

// TestAnOutageCostsCallsByItsLength, not by how many daemons there are.
func TestAnOutageCostsCallsByItsLength(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{20, 80, 240} {
		if testing.Short() && daemons > 100 {
			continue
		}
		calls := callsOfOutage(t, daemons, followed.DefaultFleetConfig())
		t.Logf("%d daemons: %d calls", daemons, calls)
		assert.Assert(t, calls <= callsPerSecond*int(outageSpan.Seconds()), "%d daemons: %d calls", daemons, calls)
	}
}

// TestWithoutTurnsAnOutageCostsCallsByDaemons: all of them ask as soon as news is old.
func TestWithoutTurnsAnOutageCostsCallsByDaemons(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("240 daemons take long under the race detector; a seeded model has no races")
	}
	config := followed.DefaultFleetConfig()
	config.TurnPerMember = 0
	config.Follower.BackoffPerMember = 0
	assert.Assert(t, callsOfOutage(t, 240, config) > callsPerSecond*int(outageSpan.Seconds()))
}
