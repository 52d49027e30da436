// Package targetspeed estimates the speed of targets, relative to others of their service, from the
// time to first byte of their responses.
//
// Each daemon sees few responses per target, so the daemons of a zone gossip their observations
// (Exchange). An estimate is the weighted median over daemons, so that no single one dominates.
// Observations decay, and an unknown target is assumed to have the usual speed. The package does no
// I/O and has no clock.
package targetspeed

import (
	"math"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

const (
	// decayTime is the time constant of the decay of observations.
	decayTime = 12 * time.Second
	// maxTargets is the maximum number of targets in memory.
	maxTargets = 16384
	// maxLogRatio limits the logarithm of one latency ratio, to a factor of 4.5, so that a lost packet
	// or an idle caller does not dominate.
	maxLogRatio = 1.5
	// minWeight is the weight below which observations are dropped.
	minWeight = 0.25
)

// decayedSum is the exponentially decayed sum of the logarithms of a target's latency ratios.
type decayedSum struct {
	at     time.Time
	weight float64
	sum    float64
	// unreported counts the responses since the target was last reported.
	unreported int
}

func (o *decayedSum) fade(now time.Time) {
	part := math.Exp(-max(0, now.Sub(o.at).Seconds()) / decayTime.Seconds())
	o.weight *= part
	o.sum *= part
	o.at = now
}

// Meter holds one daemon's own observations. It is not safe for concurrent use.
type Meter struct {
	targets map[loadshare.Mark]*decayedSum
}

func NewMeter() *Meter { return &Meter{targets: map[loadshare.Mark]*decayedSum{}} }

// Record records the latency ratio of a response: its time to first byte over the usual one of its
// route.
func (m *Meter) Record(now time.Time, target loadshare.Mark, ratio float64) {
	if !(ratio > 0) {
		return
	}
	observed := m.targets[target]
	if observed == nil {
		if len(m.targets) >= maxTargets {
			return
		}
		observed = &decayedSum{at: now}
		m.targets[target] = observed
	}
	observed.fade(now)
	observed.weight++
	observed.sum += min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
	observed.unreported++
}

// forEach applies the decay, drops targets without observations, and calls visit for each other target.
func (m *Meter) forEach(now time.Time, visit func(target loadshare.Mark, observed *decayedSum)) {
	for target, observed := range m.targets {
		observed.fade(now)
		if observed.weight < minWeight {
			delete(m.targets, target)
			continue
		}
		visit(target, observed)
	}
}
