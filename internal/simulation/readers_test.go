package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

const (
	// suppliedWithin is within what time news is in force at every daemon while no
	// reader was lost, however young the daemons are: the gossip that carries it may
	// be lost, and a pull that makes up for it may meet a daemon that is down.
	suppliedWithin = 1500 * time.Millisecond
	// replacedWithin is how long after a reader died, froze or lost the store another
	// one reads at the latest; the bound above holds again from then on.
	replacedWithin = 2700 * time.Millisecond
	// newsStep is the time between two changes.
	newsStep = 100 * time.Millisecond
)

// readersRun is a fleet whose store is well, while daemons start, die, freeze and
// lose the store.
type readersRun struct {
	*followedRun
	// lostAt is when a daemon was last lost, or lost the store.
	lostAt time.Time
}

func startReadersRun(seed uint64, config followed.FleetConfig) *readersRun {
	run := &readersRun{followedRun: startFollowedRun(seed, config)}
	run.random = rand.New(rand.NewPCG(seed, 11))
	return run
}

func (r *readersRun) lose() { r.lostAt = r.Clock.Now() }

// restartSome kills some daemons, which start again together. Where all are killed
// none is left that waits for a lost reader's word, and the bound holds at once.
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

// disturbOne lets one daemon, at times the reader, freeze or lose the store.
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

// checkNews holds every daemon that is up and awake to the bounds.
func (r *readersRun) checkNews() {
	now := r.Clock.Now()
	if now.Sub(r.lostAt) < replacedWithin+suppliedWithin {
		return
	}
	required := r.Store.RevisionAt(now.Add(-suppliedWithin))
	for index, daemon := range r.Daemons {
		isUp := daemon.Core != nil && now.Sub(daemon.TroubledAt) >= suppliedWithin && !daemon.PausedUntil.After(now)
		if isUp && daemon.Core.View().Revision() < required {
			r.violate("daemon %d is at revision %d, but %d was acknowledged %s ago", index, daemon.Core.View().Revision(), required, suppliedWithin)
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

// TestNewsArrivesWhoeverStartedWhen: all or many daemons start at once, and none of
// them is old enough to be trusted more than the others.
func TestNewsArrivesWhoeverStartedWhen(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.playNews(40, func() { run.restartSome([]float64{0.2, 0.6, 1}[run.random.IntN(3)]) })
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	})
}

// TestNewsArrivesWhileReadersAreLost: readers die, freeze, are refused or cut off by
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

// TestOneReaderIsLeft: whatever happened, soon one daemon reads for all.
func TestOneReaderIsLeft(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startReadersRun(seed, followed.DefaultFleetConfig())
		run.playNews(20, run.disturbOne)
		run.Clock.Advance(15 * time.Second)
		assert.Equal(t, run.readers(), 1, "seed %d", seed)
	})
}
