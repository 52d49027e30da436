package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxDowntime is the longest time until another target starts at the address of a crashed one,
	// minWriteDelay and maxWriteDelay bound the delay of a write that the store applies late.
	maxDowntime   = time.Second
	minWriteDelay = time.Second
	maxWriteDelay = 6 * time.Second
)

func (r *flowRun) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// replaceCrashed crashes a target and starts another one at its address, while a write of the crashed
// one is delayed.
func (r *flowRun) replaceCrashed() {
	service := r.service()
	target := r.takeTarget(service)
	if target == nil {
		return
	}
	downtime, delay := r.randomDuration(100*time.Millisecond, maxDowntime), r.randomDuration(minWriteDelay, maxWriteDelay)
	started := func(later *FlowTarget) { r.activeTargets[service] = append(r.activeTargets[service], later) }
	if r.random.IntN(2) == 0 {
		r.ReplaceTwiceCrashedTarget(target, downtime, r.randomDuration(100*time.Millisecond, minWriteDelay), delay, started)
		return
	}
	r.ReplaceCrashedTarget(target, downtime, delay, started)
}

// lapseEntry has the entry of a target lapse whose renewals the store applies late.
func (r *flowRun) lapseEntry() {
	targets := r.activeTargets[r.service()]
	if len(targets) > 0 {
		r.ExpireTarget(targets[len(targets)-1-r.random.IntN(min(2, len(targets)))], r.randomDuration(200*time.Millisecond, 2*time.Second))
	}
}

// TestFlowInvariantsHoldWithDelayedWrites guards against resets of flows of a live target after the
// store applied a write of its predecessor late. Targets crash again soon after their start, and
// daemons are restarted meanwhile.
func TestFlowInvariantsHoldWithDelayedWrites(t *testing.T) {
	t.Parallel()
	for _, omitIncarnations := range []bool{true, false} {
		t.Run(fmt.Sprintf("without incarnations %t", omitIncarnations), func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, func(t *testing.T, seed uint64) {
				run := startFlowRun(seed)
				run.OmitIncarnations = omitIncarnations
				for second := range 25 {
					run.replaceCrashed()
					if second%4 == 2 {
						run.lapseEntry()
					}
					if second%3 == 1 {
						run.restart(run.random.IntN(flowDaemons), 300*time.Millisecond)
					}
					for range flowsPerSecond {
						run.beginFlow().MaxIdle = time.Second
						run.Clock.Advance(time.Second / flowsPerSecond)
					}
				}
				run.Clock.Advance(10 * time.Second)
				assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
				assert.Assert(t, run.Opened > run.Begun/2, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
			})
		})
	}
}

// leaveWhileCold has all targets of a service leave while the latest ones are in slow start.
func (r *flowRun) leaveWhileCold(service string) {
	for range 2 {
		zone := testZones[r.random.IntN(len(testZones))]
		target := r.AddColdTarget(service, zone, r.freshAddress(), r.randomDuration(time.Second, 6*time.Second))
		r.activeTargets[service] = append(r.activeTargets[service], target)
	}
	r.Clock.After(r.randomDuration(0, time.Second), func() {
		for _, target := range r.activeTargets[service] {
			r.DrainTarget(target)
		}
		r.activeTargets[service] = nil
	})
}

// silenceReaders makes the store unresponsive for the daemons that read it, for some time.
func (r *flowRun) silenceReaders(duration time.Duration) {
	silenced := map[int]bool{}
	for index, daemon := range r.Daemons {
		silenced[index] = daemon.Core != nil && daemon.Core.IsReading()
	}
	r.IsIsolated = func(index int) bool { return silenced[index] }
	r.Store.StateFor = func(caller int) StoreState {
		if silenced[caller] {
			return StoreUnresponsive
		}
		return StoreHealthy
	}
	r.Clock.After(duration, func() { r.IsIsolated, r.Store.StateFor = nil, nil })
}

// TestLeavingTargetsGetNoFlowsPastBound guards against new flows to targets that left long ago, if all
// targets of a service leave while their entries still change, or while the daemon that reads the store
// loses it.
func TestLeavingTargetsGetNoFlowsPastBound(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(run *flowRun){
		"in planned work alone":   func(*flowRun) {},
		"readers lose the store":  func(run *flowRun) { run.silenceReaders(3 * time.Second) },
		"daemons start meanwhile": func(run *flowRun) { run.restart(run.random.IntN(flowDaemons), 200*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, func(t *testing.T, seed uint64) {
				run := startFlowRun(seed)
				for _, service := range []string{"ledger", "roster", "ledger"} {
					run.leaveWhileCold(service)
					run.Clock.After(run.randomDuration(0, time.Second), func() { disturb(run) })
					for range 6 * flowsPerSecond {
						run.beginFlow()
						run.Clock.Advance(time.Second / flowsPerSecond)
					}
					for range 3 {
						run.add(service, run.freshAddress())
					}
					run.Clock.Advance(2 * time.Second)
				}
				assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
			})
		})
	}
}

// hasOpenFlow reports whether a caller has opened a flow at the target.
func (t *FlowTarget) hasOpenFlow() bool {
	for flow := range t.flows {
		if flow.Opened {
			return true
		}
	}
	return false
}

// TestCallersOfReplacedTargetAreToldAtOnce checks that callers of a crashed target, at whatever daemon,
// are reset soon after another one has started at its address, whose probes are answered, or, if the
// store does not show which of the two runs, soon after the first response of the later one.
func TestCallersOfReplacedTargetAreToldAtOnce(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		age, bound time.Duration
		// awaitsResponse is set if only responses of the later target show that it runs.
		awaitsResponse bool
	}{
		"target that started long ago": {age: 10 * time.Second, bound: notificationBound},
		"target that started just now": {age: 3 * time.Second, bound: notificationBound + time.Second, awaitsResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var flows atomic.Int64
			t.Cleanup(func() { assert.Assert(t, flows.Load() > 0, "no flow was open at a crashed target") })
			forEachSeed(t, func(t *testing.T, seed uint64) {
				run := startFlowRun(seed)
				run.OmitIncarnations = true
				run.add("roster", run.freshAddress())
				crashed := run.activeTargets["roster"][len(run.activeTargets["roster"])-1]
				run.simulateFor(int(test.age / time.Second))
				flows.Add(int64(len(crashed.flows)))
				const downtime = 300 * time.Millisecond
				var later *FlowTarget
				run.ReplaceCrashedTarget(crashed, downtime, entryTTL-time.Second, func(started *FlowTarget) { later = started })
				run.Clock.Advance(downtime)
				for test.awaitsResponse && !later.hasOpenFlow() {
					run.beginFlow()
					run.Clock.Advance(time.Second / flowsPerSecond)
				}
				run.Clock.Advance(requestInterval + test.bound)
				for flow := range crashed.flows {
					assert.Assert(t, !flow.Opened || flow.Ended, "seed %d: a caller still waits for the crashed target", seed)
				}
			})
		})
	}
}
