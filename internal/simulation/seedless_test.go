package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

const (
	seedlessDaemons = 100
	// seedlessTargets targets in seedlessPages pages of seedlessPageBytes are the content of the
	// largest fleet. Models with fewer targets have as many pages of the same size.
	seedlessTargets   = 10_000
	seedlessPages     = 20
	seedlessPageBytes = 108_000
	// seedlessBound is the time within which a change must be active on all daemons.
	seedlessBound = 8 * time.Second
	// servingCheckInterval is how often it is checked which daemons serve new flows.
	servingCheckInterval = 50 * time.Millisecond
)

// seedlessRoutes are the routes to the two services of the content.
var seedlessRoutes = []storeview.Route{
	{Address: netip.MustParseAddrPort("198.18.1.1:443"), Backends: []storeview.Backend{{Service: "roster", Weight: 1}}},
	{Address: netip.MustParseAddrPort("198.18.1.2:443"), Backends: []storeview.Backend{{Service: "ledger", Weight: 1}}},
}

// seedlessRun restarts all daemons of a fleet, of which the seeds do not return.
type seedlessRun struct {
	*massRestart
	// servesAfter is the time from the restart until each daemon could serve a new flow of each
	// service by its own decision; 0 before.
	servesAfter []time.Duration
	// targets is the number of targets.
	targets int
	// removed are the keys of targets that were removed from the store.
	removed map[string]bool
	// falseRemovals counts targets that a daemon took for removed although the store has them.
	falseRemovals int
}

// seedlessKeys divides keys that end in four random hexadecimal digits.
type seedlessKeys struct{}

func (seedlessKeys) SplitKeys(after string, parts int) []string {
	var first int
	if _, err := fmt.Sscanf(after, "target-%x", &first); err != nil {
		return nil
	}
	var keys []string
	for index := 1; index < parts; index++ {
		keys = append(keys, fmt.Sprintf("target-%04x", first+index*(1<<16-first)/parts))
	}
	return keys
}

func (seedlessKeys) KeyAt(fraction float64) string {
	return fmt.Sprintf("target-%04x", int(fraction*(1<<16)))
}

func (r *seedlessRun) key(number int) string {
	return fmt.Sprintf("target-%04x", number*(1<<16)/r.targets)
}

func newSeedlessRun(seed uint64, daemons, targets int) *seedlessRun {
	config := followed.FleetConfigFor(seedlessBound)
	config.Follower.Keys = seedlessKeys{}
	fleet := NewFollowedFleet(seed, daemons, testZones, config, DefaultNetworkConfig())
	run := &seedlessRun{
		massRestart: &massRestart{coldStart: &coldStart{followedRun: newFollowedRun(seed, fleet)}, lost: map[int]bool{}},
		servesAfter: make([]time.Duration, daemons),
		removed:     map[string]bool{},
		targets:     targets,
	}
	run.convergence = seedlessBound
	run.Links = NewLinks()
	run.Links.Store *= float64(daemons) / largestDaemons
	run.Links.TargetBytes = seedlessPageBytes * seedlessPages / int64(targets)
	run.Links.SnapshotBytes, run.Links.ConfigurationBytes, run.Links.AbortedBytes = 300<<10, 20<<10, 16<<10
	run.Store.Links, run.Store.PageSize = run.Links, targets/seedlessPages
	run.fixedRoutes, run.services = seedlessRoutes, []storeview.Service{{Name: "roster"}, {Name: "ledger"}}
	run.configure()
	for number := range targets {
		run.putTarget(number, false)
	}
	run.OnChange = run.checkRemovals
	run.Clock.Advance(seedlessBound) // stale lists have the content, too
	return run
}

// putTarget writes a target. One in five is of the ledger service.
func (r *seedlessRun) putTarget(number int, isDraining bool) {
	service := "roster"
	if number%5 == 0 {
		service = "ledger"
	}
	r.Store.Put(storeview.Entry{Key: r.key(number), Target: &storeview.Target{
		Identifier: uint64(number + 1), Service: service, Zone: testZones[number%len(testZones)], Slots: 2, Draining: isDraining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(number >> 8), byte(number)}), 80),
	}})
}

func (r *seedlessRun) removeTarget(number int) {
	r.removed[r.key(number)] = true
	r.Store.Put(storeview.Entry{Key: r.key(number)})
}

// checkRemovals counts targets that a daemon takes for removed although the store has them.
func (r *seedlessRun) checkRemovals(_ int, change *storeview.Change) {
	for _, target := range change.ChangedTargets {
		if target.IsRemoved && !r.removed[target.Key] {
			r.falseRemovals++
		}
	}
}

// restartWithoutSeeds kills all daemons, which were never started before, in some circumstances.
// Nothing that they knew matters, as they keep nothing.
func (r *seedlessRun) restartWithoutSeeds(circumstances func(r *massRestart)) {
	for index := range r.Seeds {
		r.lost[index] = true
	}
	circumstances(r.massRestart)
}

// isRunning reports whether a daemon has returned.
func (r *seedlessRun) isRunning(daemon int) bool { return r.Daemons[daemon].Core != nil }

// canServe reports whether a daemon sends a new flow of each service to a target of it.
func (r *seedlessRun) canServe(daemon int) bool {
	core := r.Daemons[daemon].Core
	if core == nil || core.View().Configuration() == nil {
		return false
	}
	now := r.Clock.Now()
	random := rand.New(rand.NewPCG(uint64(daemon), 0))
	table := token.NewBuilder(time.Minute).Build(now, core.View())
	opener := token.NewOpener(r.Daemons[daemon].Zone, random, ownership.NewTable(64, time.Second), time.Second)
	for _, route := range seedlessRoutes {
		packet := token.Packet{Source: netip.MustParseAddrPort("100.64.0.1:1"), Destination: route.Address, IsOpening: true}
		decision := opener.Open(now, table, &packet)
		if decision.Action != token.Forward || decision.Target.Service != route.Backends[0].Service {
			return false
		}
	}
	return true
}

// advance advances time and records which daemons serve.
func (r *seedlessRun) advance(duration time.Duration) {
	for until := r.Clock.Now().Add(duration); r.Clock.Now().Before(until); {
		r.Clock.Advance(min(servingCheckInterval, until.Sub(r.Clock.Now())))
		for index := range r.Daemons {
			if r.servesAfter[index] == 0 && !r.lost[index] && r.canServe(index) {
				r.servesAfter[index] = r.Clock.Now().Sub(r.startedAt)
			}
		}
	}
}

// servingAfter returns the time after the restart at which a share of the returned daemons served.
func (r *seedlessRun) servingAfter(share float64) time.Duration {
	var delays []time.Duration
	for index, delay := range r.servesAfter {
		switch {
		case r.lost[index]:
		case delay == 0:
			delays = append(delays, time.Hour)
		default:
			delays = append(delays, delay)
		}
	}
	slices.Sort(delays)
	return delays[min(len(delays)-1, int(share*float64(len(delays))))]
}

// completeCount returns the number of running daemons that have the whole content.
func (r *seedlessRun) completeCount() (complete int) {
	for _, daemon := range r.Daemons {
		if daemon.Core != nil && daemon.Core.IsComplete() {
			complete++
		}
	}
	return complete
}

// assertChangesReachParts drains and removes targets and writes a version while the daemons list, and
// checks that what they know of it is in force everywhere in time.
func (r *seedlessRun) assertChangesReachParts(t *testing.T) {
	t.Helper()
	drained := r.random.Perm(r.targets)[:r.targets/25]
	for index, number := range drained {
		if index%2 == 0 {
			r.putTarget(number, true)
		} else {
			r.removeTarget(number)
		}
	}
	r.configure()
	r.advance(seedlessBound)
	for index, daemon := range r.Daemons {
		if !r.isRunning(index) {
			continue
		}
		view := daemon.Core.View()
		assert.Assert(t, view.Configuration() != nil, "daemon %d has no configuration", index)
		assert.Assert(t, r.holdsRoutes(view), "daemon %d has version %d, not %d", index, view.Configuration().Version, r.version)
		for _, number := range drained {
			target := view.Target(r.key(number))
			assert.Assert(t, target == nil || target.State() != storeview.StateOpen, "daemon %d still uses target %d", index, number)
		}
	}
}

// assertSeedsReunite starts the seeds and checks that all daemons know each other and the whole
// content in time.
func (r *seedlessRun) assertSeedsReunite(t *testing.T) {
	t.Helper()
	for index := range r.Seeds {
		r.lost[index] = false
		r.Start(index)
	}
	r.Clock.Advance(seedlessBound)
	r.assertUnited(t)
}

// assertUnited checks that all daemons have the whole content, and that nearly all pairs of them know
// each other.
func (r *seedlessRun) assertUnited(t *testing.T) {
	t.Helper()
	unknown, running := 0, 0
	for index, daemon := range r.Daemons {
		if !r.isRunning(index) {
			continue
		}
		running++
		assert.Assert(t, daemon.Core.IsComplete(), "daemon %d has a part of the content only", index)
	}
	for index, daemon := range r.Daemons {
		if r.isRunning(index) {
			unknown += running - len(daemon.Core.Live())
		}
	}
	assert.Assert(t, unknown < running, "%d of %d pairs do not know each other", unknown, running*running)
}

// TestDaemonsUniteBySettings guards against daemons that stay alone after settings named a seed that
// runs.
func TestDaemonsUniteBySettings(t *testing.T) {
	if testing.Short() {
		t.Skip("minutes under the race detector; a seeded model has no races")
	}
	t.Parallel()
	run := newSeedlessRun(1, seedlessDaemons, seedlessTargets)
	run.restartWithoutSeeds((*massRestart).killAll)
	run.Clock.Advance(5 * time.Second)
	for _, daemon := range run.Daemons {
		if daemon.Core != nil {
			daemon.Core.SetSeeds([]netip.AddrPort{run.Daemons[10].Address})
		}
	}
	run.Clock.Advance(seedlessBound)
	run.assertUnited(t)
	assert.Equal(t, run.falseRemovals, 0)
}

// TestJoinersServeWhileSeedsAreDown guards against daemons that serve nobody or stay alone for good
// because they start while all seeds are down and the rest of the fleet runs.
func TestJoinersServeWhileSeedsAreDown(t *testing.T) {
	if testing.Short() {
		t.Skip("minutes under the race detector; a seeded model has no races")
	}
	t.Parallel()
	const firstJoiner = seedlessDaemons - 5
	run := newSeedlessRun(1, seedlessDaemons, seedlessTargets)
	for index := range firstJoiner {
		run.Start(index)
	}
	run.Clock.Advance(15 * time.Second)
	run.assertUnited(t)
	for index := range run.Seeds {
		run.Stop(index)
		run.lost[index] = true
	}
	run.Clock.Advance(time.Second)
	run.startedAt = run.Clock.Now()
	for index := firstJoiner; index < seedlessDaemons; index++ {
		run.Start(index)
	}
	run.advance(seedlessBound)
	t.Logf("joiners serve after %s, know %d daemons", run.servesAfter[firstJoiner:], len(run.Daemons[firstJoiner].Core.Live()))
	for index := firstJoiner; index < seedlessDaemons; index++ {
		assert.Assert(t, run.servesAfter[index] > 0, "daemon %d serves nobody", index)
		assert.Assert(t, run.Daemons[index].Core.IsComplete(), "daemon %d has a part of the content only", index)
	}
	run.lost[0] = false
	run.Start(0)
	run.Clock.Advance(seedlessBound)
	run.assertUnited(t)
}

// seedlessCircumstances are those of massRestarts that a daemon without peers can serve in.
var seedlessCircumstances = []string{
	"with a healthy store", "twice", "with a slow store", "with an unresponsive store", "with an unavailable store",
	"with a throttling store", "with a store that loses answers", "with a store that drops its history",
}

// endDisturbance ends what still disturbs the store. Bounds on changes apply from then on.
func (r *seedlessRun) endDisturbance() {
	r.Store.ResponseLoss = 0
	r.Store.Delay = NewStore(r.Clock, r.random).Delay
}

// isDisturbedLong reports whether circumstances disturb the store for longer than the restart.
func isDisturbedLong(circumstances string) bool {
	return circumstances == "with a store that loses answers" || circumstances == "with a store that drops its history"
}

// TestDaemonsServeWithoutSeeds guards against a fleet that serves nobody after a restart of all from
// which no seed returns: every daemon must send new flows of each service to targets in time, and
// none may take what it has not listed yet for removed or its part for the whole.
func TestDaemonsServeWithoutSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("minutes under the race detector; a seeded model has no races")
	}
	for _, name := range seedlessCircumstances {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				run := newSeedlessRun(seed, seedlessDaemons, seedlessTargets)
				run.restartWithoutSeeds(massRestarts[name])
				outage := run.recoverFrom.Sub(run.startedAt)
				run.advance(run.recoverFrom.Add(4 * time.Second).Sub(run.Clock.Now()))
				partial := seedlessDaemons - len(run.Seeds) - run.completeCount()
				if !isDisturbedLong(name) {
					run.assertChangesReachParts(t)
				}
				run.advance(run.recoverFrom.Add(recoveryBound).Sub(run.Clock.Now()))
				t.Logf("after %s without the store: first serve %s half %s all %s, %d calls; %d with a part after 4 s, %d after %s",
					outage, run.servingAfter(0), run.servingAfter(0.5), run.servingAfter(1), run.Store.Calls,
					partial, seedlessDaemons-len(run.Seeds)-run.completeCount(), recoveryBound)
				assert.Assert(t, run.servingAfter(1) <= outage+recoveryBound)
				run.endDisturbance()
				if isDisturbedLong(name) {
					run.assertChangesReachParts(t)
				}
				run.assertSeedsReunite(t)
				assert.Equal(t, run.falseRemovals, 0)
				assert.DeepEqual(t, run.Violations, []string(nil))
			})
		}
	}
}

// flowLifetime is how long a flow lives at most. After that no daemon has packets of a flow that was
// open before the restart.
const flowLifetime = time.Minute

// TestSeedlessFleetCompletesItsLists guards against daemons without peers that keep a part of the
// content for good: all have the whole content within the lifetime of a flow. Afterwards each watches
// the store, no more often than a reader.
func TestSeedlessFleetCompletesItsLists(t *testing.T) {
	if testing.Short() {
		t.Skip("minutes under the race detector; a seeded model has no races")
	}
	t.Parallel()
	run := newSeedlessRun(1, *fleetSize, 1000)
	run.Links.Store *= largestDaemons / float64(*fleetSize) // the store's whole link
	run.restartWithoutSeeds((*massRestart).killAll)
	returned := *fleetSize - len(run.Seeds)
	calls := run.Store.Calls
	for run.completeCount() < returned && run.Clock.Now().Sub(run.startedAt) < flowLifetime {
		run.advance(time.Second)
	}
	completeAfter, listCalls := run.Clock.Now().Sub(run.startedAt), run.Store.Calls-calls
	calls = run.Store.Calls
	const idle = 10
	for range idle * 10 { // 30 changes a second
		for range 3 {
			run.putTarget(run.random.IntN(run.targets), false)
		}
		run.Clock.Advance(100 * time.Millisecond)
	}
	t.Logf("%d daemons: first serve %s half %s all %s, %d of %d complete after %s and %d calls; then %d calls/s", *fleetSize,
		run.servingAfter(0), run.servingAfter(0.5), run.servingAfter(1), run.completeCount(), returned, completeAfter, listCalls, (run.Store.Calls-calls)/idle)
	assert.Equal(t, run.completeCount(), returned)
	maxCalls := returned * idle * int(time.Second/run.Config.Follower.Gather)
	assert.Assert(t, run.Store.Calls-calls <= maxCalls, "%d calls in %d s", run.Store.Calls-calls, idle)
	assert.Equal(t, run.falseRemovals, 0)
}
