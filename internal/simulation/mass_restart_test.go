package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

const (
	// downtime is how long all daemons are down.
	downtime = time.Second
	// recoveryBound is the time after the machines are back, or after the store is available again,
	// within which nearly all daemons must have a configuration.
	recoveryBound = 18 * time.Second
	// recoveredShare is the share of daemons meant by nearly all.
	recoveredShare = 0.9
	// slowStoreDelay is the latency of a store that answers a hundred times slower than usual, and
	// just within the timeouts of daemons.
	slowStoreDelay = 388 * time.Millisecond
	// largestDaemons is the size of the fleet whose daemons share the store's whole link. Smaller ones
	// get as much of it for each daemon, and are as congested.
	largestDaemons = 1000
	// storeOutage is how long the store is unavailable around the restart.
	storeOutage = 6 * time.Second
)

// massRestart kills all daemons of a fleet whose content has 50 pages and starts them again.
type massRestart struct {
	*coldStart
	// recoverFrom is when the machines and the store are back.
	recoverFrom time.Time
	// lost are machines that do not return.
	lost map[int]bool
}

func newMassRestart(seed uint64, daemons int) *massRestart {
	config := followed.FleetConfigFor(8 * time.Second)
	config.Follower.Keys = targetKeys{}
	run := newColdStart(seed, daemons, largeTargets, config)
	run.Store.PageSize = largeTargets / 50
	run.Links.Store *= float64(daemons) / largestDaemons
	run.Links.TargetBytes = 16 * 542 // 600 targets are as large as 10,000, a page has 104 KB
	run.Links.SnapshotBytes = 300 << 10
	run.Links.ConfigurationBytes = 20 << 10
	run.Clock.Advance(8 * time.Second)
	return &massRestart{coldStart: run, lost: map[int]bool{}}
}

// targetKeys divides the keys of largeTargets targets into ranges of equal size.
type targetKeys struct{}

func (targetKeys) SplitKeys(after string, parts int) []string {
	var later, split []string
	for number := range largeTargets {
		if key := fmt.Sprint("target-", number+1); key > after {
			later = append(later, key)
		}
	}
	slices.Sort(later)
	for index := 1; index < parts && len(later) >= parts; index++ {
		split = append(split, later[index*len(later)/parts])
	}
	return split
}

func (targetKeys) KeyAt(fraction float64) string {
	keys := targetKeys{}.SplitKeys("", largeTargets)
	return keys[min(int(fraction*float64(len(keys))), len(keys)-1)]
}

// killAll kills all daemons and schedules their restart.
func (r *massRestart) killAll() {
	for index := range r.Daemons {
		r.Stop(index)
		r.Daemons[index].ReadyAt = time.Time{}
	}
	r.startedAt = r.Clock.Now().Add(downtime)
	r.recoverFrom = r.startedAt
	for index := range r.Daemons {
		if r.lost[index] {
			continue
		}
		generation := r.Daemons[index].generation
		r.Clock.After(downtime+time.Duration(r.random.Int64N(int64(startSpread))), func() {
			if r.Daemons[index].generation == generation {
				r.Start(index)
			}
		})
	}
}

// killAllDuring kills all daemons while the store is in a state.
func (r *massRestart) killAllDuring(state StoreState) {
	r.setStoreState(state, storeOutage)
	r.killAll()
	r.recoverFrom = r.stateUntil
}

// massRestarts are circumstances in which all daemons are killed.
var massRestarts = map[string]func(r *massRestart){
	"with a healthy store": (*massRestart).killAll,
	"twice": func(r *massRestart) {
		r.killAll()
		r.Clock.Advance(2500 * time.Millisecond)
		r.killAll()
	},
	"with a slow store": func(r *massRestart) {
		r.Store.Delay = slowStoreDelay
		r.killAll()
	},
	"with an unresponsive store": func(r *massRestart) { r.killAllDuring(StoreUnresponsive) },
	"with an unavailable store":  func(r *massRestart) { r.killAllDuring(StoreUnavailable) },
	"with a throttling store":    func(r *massRestart) { r.killAllDuring(StoreThrottling) },
	"with a store that resets":   func(r *massRestart) { r.killAllDuring(StoreResetting) },
	"with a store that loses answers": func(r *massRestart) {
		r.Store.ResponseLoss = 0.3
		r.killAll()
	},
	"with a store that drops its history": func(r *massRestart) {
		r.Store.Lag = 3 * time.Second
		r.killAll()
		for second := range 10 {
			r.Clock.After(time.Duration(second)*time.Second, func() {
				r.configure()
				r.Store.Compact()
			})
		}
	},
	"during a series of configurations": func(r *massRestart) {
		r.killAll()
		for step := range 50 {
			r.Clock.After(time.Duration(step)*200*time.Millisecond, r.configure)
		}
	},
	"while the store refuses a third": func(r *massRestart) {
		for index := range r.Daemons {
			r.throttled[index] = index%3 == 0
		}
		r.killAll()
	},
	"while the store is unreachable for the seeds": func(r *massRestart) {
		for index := range r.Seeds {
			r.unreachable[index] = true
		}
		r.killAll()
	},
}

// assertRecovers kills all daemons and checks that nearly all have a configuration in time.
func assertRecovers(t *testing.T, killAll func(r *massRestart)) {
	t.Helper()
	t.Parallel()
	run := newMassRestart(1, *fleetSize)
	calls := run.Store.Calls
	killAll(run)
	run.Clock.Advance(run.recoverFrom.Add(recoveryBound).Sub(run.Clock.Now()))
	outage := run.recoverFrom.Sub(run.startedAt)
	t.Logf("after %s without the store: first %s half %s nine tenths %s all %s, %d calls", outage,
		run.readyAfter(0), run.readyAfter(0.5), run.readyAfter(recoveredShare), run.readyAfter(1), run.Store.Calls-calls)
	assert.Assert(t, run.readyAfter(recoveredShare) <= outage+recoveryBound)
}

// TestFleetRecoversFromMassRestart guards against a fleet that does not serve again after all daemons
// were killed, since its content has more pages than a daemon can list in time.
func TestFleetRecoversFromMassRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("hundreds of daemons take minutes under the race detector; a seeded model has no races")
	}
	for name, killAll := range massRestarts {
		t.Run(name, func(t *testing.T) { assertRecovers(t, killAll) })
	}
}

// TestFleetRecoversFromMassRestartWithoutSeeds guards against the same when no seed returns, so that
// no daemon knows a peer and each lists the store itself.
func TestFleetRecoversFromMassRestartWithoutSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("hundreds of daemons take minutes under the race detector; a seeded model has no races")
	}
	assertRecovers(t, func(r *massRestart) {
		for index := range r.Seeds {
			r.lost[index] = true
		}
		r.killAll()
	})
}
