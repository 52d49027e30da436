package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

const (
	// suppliedWithin is the time within which an update reaches every daemon while no reader fails,
	// also right after a start. It allows for the loss of a gossip message and for a pull to a
	// daemon that is down.
	suppliedWithin = 1500 * time.Millisecond
	// replacedWithin is the time within which a reader that died, paused or lost the store is
	// replaced; suppliedWithin applies again from then on.
	replacedWithin = 2700 * time.Millisecond
	// newsStep is the time between two updates.
	newsStep = 100 * time.Millisecond
)

// readersRun runs a fleet with a healthy store, while daemons start, die, pause and lose the store.
type readersRun struct {
	*followedRun
	// lostAt is when a daemon was last lost, or lost or regained the store.
	lostAt time.Time
}

func startReadersRun(seed uint64, config followed.FleetConfig) *readersRun {
	run := &readersRun{followedRun: startFollowedRun(seed, config)}
	run.random = rand.New(rand.NewPCG(seed, 11))
	return run
}

func (r *readersRun) lose() { r.lostAt = r.Clock.Now() }

// restartSome kills some daemons and restarts them together. If all are killed, none waits for a
// lost reader, so the bound applies at once.
func (r *readersRun) restartSome(share float64) {
	if share < 1 {
		r.lose()
	}
	down := time.Duration(r.random.Int64N(int64(2 * time.Second)))
	for index, daemon := range r.Daemons {
		if daemon.Core != nil && r.random.Float64() < share {
			r.restart(index, down+time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
		}
	}
}

// disturbOne pauses one daemon, often the reader, or takes the store away from it.
func (r *readersRun) disturbOne() {
	daemon := r.random.IntN(len(r.Daemons))
	for index, other := range r.Daemons {
		if other.Core != nil && other.Core.IsReading() && r.random.IntN(2) == 0 {
			daemon = index
		}
	}
	span := 500*time.Millisecond + time.Duration(r.random.Int64N(int64(6*time.Second)))
	r.lose()
	switch r.random.IntN(3) {
	case 0:
		r.Pause(daemon, span)
		r.Clock.After(span, r.lose)
	case 1:
		r.mark(r.refused, daemon, span, false)
		r.Clock.After(span, r.lose)
	case 2:
		r.mark(r.unreachable, daemon, span, false)
		r.Clock.After(span, r.lose)
	}
}

// checkNews checks suppliedWithin for every daemon that is up and not paused.
func (r *readersRun) checkNews() {
	now := r.Clock.Now()
	if now.Sub(r.lostAt) < replacedWithin+suppliedWithin {
		return
	}
	required := r.Store.RevisionAt(now.Add(-suppliedWithin))
	for index, daemon := range r.Daemons {
		isUp := daemon.Core != nil && now.Sub(daemon.TroubledAt) >= suppliedWithin && !daemon.PausedUntil.After(now)
		if isUp && daemon.Core.View().Revision() < required {
			r.violate("daemon %d is at revision %d, but revision %d was acknowledged %s ago", index, daemon.Core.View().Revision(), required, suppliedWithin)
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

func (r *readersRun) playNews(seconds int, disturb func()) {
	end := r.Clock.Now().Add(time.Duration(seconds) * time.Second)
	nextDisturbance := r.Clock.Now()
	for r.Clock.Now().Before(end) && len(r.Violations) == 0 {
		if !r.Clock.Now().Before(nextDisturbance) {
			nextDisturbance = nextDisturbance.Add(time.Duration(1+r.random.Int64N(9)) * time.Second)
			disturb()
		}
		r.addTarget()
		r.Clock.Advance(newsStep)
		r.checkNews()
	}
}

// TestNewsArrivesWhoeverStartedWhen restarts many or all daemons at once, so that daemon age
// doesn't distinguish a reader.
func TestNewsArrivesWhoeverStartedWhen(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.playNews(40, func() { run.restartSome([]float64{0.2, 0.6, 1}[run.random.IntN(3)]) })
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestNewsArrivesWhileReadersAreLost covers readers that die, pause, or are throttled or cut off by
// a store that serves the others.
func TestNewsArrivesWhileReadersAreLost(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.playNews(60, func() {
			if run.random.IntN(3) == 0 {
				run.restartSome(0.4)
				return
			}
			run.disturbOne()
		})
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestOneReaderIsLeft checks that exactly one daemon reads on behalf of the group some time after
// the faults.
func TestOneReaderIsLeft(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.playNews(20, run.disturbOne)
		run.Clock.Advance(15 * time.Second)
		assert.Equal(t, run.readers(), 1, "seed %d", seed)
	})
}
