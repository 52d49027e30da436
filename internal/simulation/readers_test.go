package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

const (
	// updateBound is the time within which an update reaches every daemon while no reader fails,
	// also right after a start. It allows for the loss of a gossip message and for a pull to a
	// daemon that is down.
	updateBound = 1500 * time.Millisecond
	// readerReplacementBound is the time within which a reader that died, paused or lost the store
	// is replaced; updateBound applies again from then on.
	readerReplacementBound = 2700 * time.Millisecond
	// updateInterval is the time between two updates.
	updateInterval = 100 * time.Millisecond
)

// readersRun runs a fleet with a healthy store, while daemons start, die, pause and lose the store.
type readersRun struct {
	*followedRun
	// lastFailure is when a daemon last failed, or lost or regained the store.
	lastFailure time.Time
}

func startReadersRun(seed uint64, config followed.FleetConfig) *readersRun {
	run := &readersRun{followedRun: startFollowedRun(seed, config)}
	run.random = rand.New(rand.NewPCG(seed, 11))
	return run
}

func (r *readersRun) noteFailure() { r.lastFailure = r.Clock.Now() }

// restartShare kills some daemons and restarts them together. If all are killed, none waits for a
// lost reader, so the bound applies at once.
func (r *readersRun) restartShare(share float64) {
	if share < 1 {
		r.noteFailure()
	}
	downtime := time.Duration(r.random.Int64N(int64(2 * time.Second)))
	for index, daemon := range r.Daemons {
		if daemon.Core != nil && r.random.Float64() < share {
			r.restart(index, downtime+time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
		}
	}
}

// disturbDaemon pauses one daemon, often the reader, or has the store throttle it or cut it off.
func (r *readersRun) disturbDaemon() {
	daemon := r.random.IntN(len(r.Daemons))
	for index, other := range r.Daemons {
		if other.Core != nil && other.Core.IsReading() && r.random.IntN(2) == 0 {
			daemon = index
		}
	}
	duration := 500*time.Millisecond + time.Duration(r.random.Int64N(int64(6*time.Second)))
	r.noteFailure()
	switch r.random.IntN(3) {
	case 0:
		r.Pause(daemon, duration)
		r.Clock.After(duration, r.noteFailure)
	case 1:
		r.markFor(r.throttled, daemon, duration, false)
		r.Clock.After(duration, r.noteFailure)
	case 2:
		r.markFor(r.unreachable, daemon, duration, false)
		r.Clock.After(duration, r.noteFailure)
	}
}

// checkUpdates checks updateBound for every daemon that is up and not paused.
func (r *readersRun) checkUpdates() {
	now := r.Clock.Now()
	if now.Sub(r.lastFailure) < readerReplacementBound+updateBound {
		return
	}
	required := r.Store.RevisionAt(now.Add(-updateBound))
	for index, daemon := range r.Daemons {
		isUp := daemon.Core != nil && now.Sub(daemon.DisturbedAt) >= updateBound && !daemon.PausedUntil.After(now)
		if isUp && daemon.Core.View().Revision() < required {
			r.recordViolation("daemon %d is at revision %d, but revision %d was acknowledged %s ago", index, daemon.Core.View().Revision(), required, updateBound)
		}
	}
}

func (r *readersRun) readers() int {
	reading := 0
	for _, daemon := range r.Daemons {
		if daemon.Core != nil && daemon.Core.IsReading() {
			reading++
		}
	}
	return reading
}

func (r *readersRun) simulateUpdates(seconds int, disturb func()) {
	end := r.Clock.Now().Add(time.Duration(seconds) * time.Second)
	nextDisturbance := r.Clock.Now()
	for r.Clock.Now().Before(end) && len(r.Violations) == 0 {
		if !r.Clock.Now().Before(nextDisturbance) {
			nextDisturbance = nextDisturbance.Add(time.Duration(1+r.random.Int64N(9)) * time.Second)
			disturb()
		}
		r.addTarget()
		r.Clock.Advance(updateInterval)
		r.checkUpdates()
	}
}

// TestUpdatesArriveAfterMassRestarts restarts some or all daemons at once, which may include the reader.
func TestUpdatesArriveAfterMassRestarts(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.simulateUpdates(40, func() { run.restartShare([]float64{0.2, 0.6, 1}[run.random.IntN(3)]) })
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestUpdatesArriveDespiteReaderFailures covers readers that die, pause, or are throttled or cut
// off by a store that serves the others.
func TestUpdatesArriveDespiteReaderFailures(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.simulateUpdates(60, func() {
			if run.random.IntN(3) == 0 {
				run.restartShare(0.4)
				return
			}
			run.disturbDaemon()
		})
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestSingleReaderAfterFaults checks that exactly one daemon reads on behalf of the group some time
// after the faults.
func TestSingleReaderAfterFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.simulateUpdates(20, run.disturbDaemon)
		run.Clock.Advance(15 * time.Second)
		assert.Equal(t, run.readers(), 1, "seed %d", seed)
	})
}
