package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/overload"
)

// newOverloadConfig returns a load on 120 targets with a burst of 4 s.
func newOverloadConfig(daemons int, load, slow float64) OverloadConfig {
	return OverloadConfig{Daemons: daemons, Targets: 120, AdmissionControl: true, Load: load, SlowShare: slow, Burst: 4 * time.Second, Seed: 1}
}

// runBoth runs a load with and without admission control.
func runBoth(t *testing.T, config OverloadConfig) (bounded, unbounded OverloadResult) {
	t.Helper()
	bounded = Overload(config)
	config.AdmissionControl = false
	unbounded = Overload(config)
	t.Log("bounded:", bounded.String())
	t.Log("unbounded:", unbounded.String())
	return bounded, unbounded
}

func (r *OverloadResult) String() string {
	return fmt.Sprintf("preferred %.3f ordinary %.3f served %d rejected %d of %d, refused %d, %d after the burst",
		r.Share(overload.Preferred), r.Share(overload.Ordinary), r.total(), r.Rejected, r.Arrivals, r.Refused, r.RefusedAfterBurst)
}

func (r *OverloadResult) total() int {
	return r.Served[overload.Preferred] + r.Served[overload.Ordinary]
}

// TestPreferredRankIsServedPastCapacity offers 1.2 times the nominal capacity. As three in ten
// targets are slow, that is some 1.5 times what they can serve. Without admission control targets
// reject more than they serve.
func TestPreferredRankIsServedPastCapacity(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{8, 88, 350} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			if testing.Short() && daemons > 8 {
				t.Skip("takes minutes under the race detector")
			}
			bounded, unbounded := runBoth(t, newOverloadConfig(daemons, 1.2, 0.3))
			assert.Assert(t, unbounded.Share(overload.Preferred) < 0.85)
			assert.Assert(t, bounded.Share(overload.Preferred) > 0.96)
			assert.Assert(t, bounded.Rejected*4 < unbounded.Rejected)
			assert.Assert(t, float64(bounded.total()) > 0.95*float64(unbounded.total()), "targets are left idle")
			assert.Assert(t, bounded.Share(overload.Ordinary) > 0.5, "ordinary requests are starved")
			assert.Assert(t, bounded.RefusedAfterBurst*100 < bounded.Refused, "retries sustain the overload")
		})
	}
}

// TestNoFlowIsRefusedWithinCapacity covers the usual load, a load with a third of the targets
// dead, and one near the capacity.
func TestNoFlowIsRefusedWithinCapacity(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	usual, dead, high := newOverloadConfig(88, 0.2, 0), newOverloadConfig(88, 0.5, 0), newOverloadConfig(88, 0.7, 0)
	dead.DeadShare = 1.0 / 3
	for name, config := range map[string]OverloadConfig{"usual": usual, "a third dead": dead, "high": high} {
		t.Run(name, func(t *testing.T) {
			bounded, unbounded := runBoth(t, config)
			assert.Equal(t, bounded.Refused, 0)
			assert.Equal(t, bounded.total(), unbounded.total())
		})
	}
}

// TestAdmissionControlCostsLittleNearCapacity offers nine tenths of the capacity of targets of
// which three in ten are slow and reject requests that others could have served.
func TestAdmissionControlCostsLittleNearCapacity(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	bounded, unbounded := runBoth(t, newOverloadConfig(88, 0.7, 0.3))
	assert.Assert(t, float64(bounded.total()) > 0.98*float64(unbounded.total()))
}

// TestWrongFleetSizeOnlyDegrades covers daemons that assume half or twice the actual fleet
// size.
func TestWrongFleetSizeOnlyDegrades(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	for _, believed := range []int{44, 176} {
		t.Run(fmt.Sprint(believed, " of 88"), func(t *testing.T) {
			config := newOverloadConfig(88, 1.2, 0.3)
			config.AssumedDaemons = believed
			bounded, unbounded := runBoth(t, config)
			assert.Assert(t, bounded.Share(overload.Preferred) > unbounded.Share(overload.Preferred)+0.1)
			assert.Assert(t, bounded.Rejected*2 < unbounded.Rejected)
			assert.Assert(t, float64(bounded.total()) > 0.92*float64(unbounded.total()))
		})
	}
}
