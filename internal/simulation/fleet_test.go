package simulation

import (
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
)

// seedCount returns the number of seeds to run, which is smaller in short mode.
func seedCount(want int) uint64 {
	if testing.Short() {
		return uint64(max(1, want/shortModeDivisor))
	}
	return uint64(want)
}

// shortModeDivisor is the factor by which short mode reduces the number of seeds.
const shortModeDivisor = 10

var testZones = []string{"salt-a", "salt-b", "newtown-c"}

func newTestFleet(seed uint64, count int) *Fleet {
	return NewFleet(seed, count, testZones, control.DefaultLANConfig(), DefaultNetworkConfig())
}

func createService(request string, number int) *catalog.Change {
	return &catalog.Change{
		RequestIdentifier: request, Operation: catalog.CreateService,
		Service: catalog.Service{
			Name: fmt.Sprint("service-", number), Protocol: catalog.ProtocolQUIC, Priority: catalog.PriorityCritical,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 443),
		},
	}
}

func (f *Fleet) assertNoViolations(t *testing.T) {
	t.Helper()
	for _, violation := range f.Violations {
		t.Error(violation)
	}
}

func (f *Fleet) countLeaders() int {
	count := 0
	for _, daemon := range f.Daemons {
		if daemon.Core != nil && daemon.Core.IsLeader() {
			count++
		}
	}
	return count
}

func TestFleetFormsGroupAndAcceptsChanges(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(50) {
		fleet := newTestFleet(seed, 7)
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		assert.Equal(t, fleet.countLeaders(), 1, "seed %d", seed)
		var result control.ProposalResult
		fleet.Submit(int(seed%7), createService("one", 1), func(r control.ProposalResult) { result = r })
		fleet.Clock.Advance(3 * time.Second)
		assert.Equal(t, result.Status, control.ProposalDecided, "seed %d", seed)
		lowest, highest := fleet.RevisionRange()
		assert.Equal(t, lowest, uint64(1), "seed %d", seed)
		assert.Equal(t, highest, uint64(1))
		fleet.assertNoViolations(t)
	}
}

func TestLeaderCrashLosesNoAcceptedChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(30) {
		fleet := newTestFleet(seed, 7)
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		accepted := 0
		for round := range 4 {
			fleet.Submit(6, createService(fmt.Sprint("request-", round), round), func(r control.ProposalResult) {
				if r.Status == control.ProposalDecided {
					accepted++
				}
			})
			fleet.Clock.Advance(200 * time.Millisecond)
			for index, daemon := range fleet.Daemons[:6] {
				if daemon.Core.IsLeader() {
					fleet.Crash(index)
					fleet.Clock.Advance(300 * time.Millisecond)
					fleet.Start(index)
				}
			}
			fleet.Clock.Advance(15 * time.Second)
		}
		lowest, highest := fleet.RevisionRange()
		assert.Equal(t, accepted, 4, "seed %d", seed)
		assert.Equal(t, lowest, highest, "seed %d", seed)
		assert.Equal(t, int(highest), 4, "seed %d", seed)
		fleet.assertNoViolations(t)
	}
}

// casInput and casOutput model the configuration as a compare-and-set register, which porcupine
// checks for linearizability.
type casInput struct{ expected uint64 }

type casOutput struct {
	accepted bool
	unknown  bool
	revision uint64
}

var casModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, call, answer := state.(uint64), input.(casInput), output.(casOutput)
		matches := call.expected == 0 || call.expected == revision
		switch {
		case answer.unknown:
			if matches {
				return true, revision + 1
			}
			return true, revision
		case answer.accepted:
			return matches && answer.revision == revision+1, revision + 1
		default:
			return !matches && answer.revision == revision, revision
		}
	},
}

// scheduleFaults injects random faults at intervals and ends each of them again.
func scheduleFaults(fleet *Fleet, duration time.Duration) {
	end := fleet.Clock.Now().Add(duration)
	var next func()
	next = func() {
		if fleet.Clock.Now().After(end) {
			fleet.Cut = nil
			return
		}
		victim := fleet.Random.IntN(len(fleet.Daemons))
		switch fleet.Random.IntN(4) {
		case 0:
			if fleet.Daemons[victim].Core != nil {
				fleet.Crash(victim)
				fleet.Clock.After(time.Duration(fleet.Random.Int64N(int64(3*time.Second))), func() { fleet.Start(victim) })
			}
		case 1:
			fleet.Pause(victim, time.Duration(fleet.Random.Int64N(int64(8*time.Second))))
		case 2:
			oneWay := fleet.Random.IntN(2) == 0
			fleet.Cut = func(from, to int) bool { return from == victim || (to == victim && !oneWay) }
			fleet.Clock.After(4*time.Second, func() { fleet.Cut = nil })
		case 3:
			side := fleet.Random.IntN(len(fleet.Daemons))
			fleet.Cut = func(from, to int) bool { return (from <= side) != (to <= side) }
			fleet.Clock.After(6*time.Second, func() { fleet.Cut = nil })
		}
		fleet.Clock.After(8*time.Second+time.Duration(fleet.Random.Int64N(int64(4*time.Second))), next)
	}
	next()
}

// runHistory has clients make compare-and-set calls during faults and returns the history.
func runHistory(fleet *Fleet, duration time.Duration) []porcupine.Operation {
	var history []porcupine.Operation
	end := fleet.Clock.Now().Add(duration)
	number := 0
	for client := range 3 {
		var call func()
		call = func() {
			if fleet.Clock.Now().After(end) {
				return
			}
			via := fleet.Random.IntN(len(fleet.Daemons))
			if fleet.Daemons[via].Core == nil {
				fleet.Clock.After(time.Second, call)
				return
			}
			number++
			change := createService(fmt.Sprint("call-", number), number)
			change.ExpectedRevision = fleet.Daemons[via].Core.State().Revision
			operation := len(history)
			history = append(history, porcupine.Operation{
				ClientId: client, Input: casInput{change.ExpectedRevision},
				Call: fleet.Clock.Now().UnixNano(), Output: casOutput{unknown: true}, Return: fleet.Clock.Now().Add(time.Hour).UnixNano(),
			})
			answered := false
			fleet.Submit(via, change, func(result control.ProposalResult) {
				answered = true
				if result.Status == control.ProposalDecided {
					history[operation].Output = casOutput{accepted: result.Outcome.Refusal == nil, revision: result.Outcome.Revision}
					history[operation].Return = fleet.Clock.Now().UnixNano()
				}
				fleet.Clock.After(time.Duration(fleet.Random.Int64N(int64(time.Second))), call)
			})
			fleet.Clock.After(20*time.Second, func() {
				if !answered {
					call()
				}
			})
		}
		fleet.Clock.After(time.Duration(client)*100*time.Millisecond, call)
	}
	fleet.Clock.Advance(duration + 30*time.Second)
	return history
}

func countAccepted(history []porcupine.Operation) int {
	count := 0
	for _, operation := range history {
		if operation.Output.(casOutput).accepted {
			count++
		}
	}
	return count
}

// schedules is the number of seeds of the fault schedules; CI uses more.
var schedules = flag.Int("schedules", 48, "seeds of the fault schedules")

// forEachSeed runs a test for many seeds in parallel.
func forEachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	workers := runtime.GOMAXPROCS(0)
	for worker := range workers {
		t.Run(fmt.Sprint("worker-", worker), func(t *testing.T) {
			t.Parallel()
			for seed := worker; seed < int(seedCount(*schedules)); seed += workers {
				run(t, uint64(seed))
			}
		})
	}
}

func TestConfigurationIsLinearizableUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		fleet := newTestFleet(seed, 7)
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		scheduleFaults(fleet, 50*time.Second)
		history := runHistory(fleet, 60*time.Second)
		assert.Assert(t, countAccepted(history) > 5, "seed %d: only %d of %d calls were accepted", seed, countAccepted(history), len(history))
		assert.Assert(t, porcupine.CheckOperations(casModel, history), "seed %d: the history is not linearizable", seed)
		lowest, highest := fleet.RevisionRange()
		assert.Equal(t, lowest, highest, "seed %d: after the faults every daemon must have caught up", seed)
		for _, violation := range fleet.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}
