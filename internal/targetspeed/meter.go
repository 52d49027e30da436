// Package targetspeed estimates the speed of targets, relative to others of their service, from the
// time to first byte of their answers.
//
// Each daemon sees few answers per target, so the daemons of a zone gossip their observations
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
	// memory is the time constant of the decay of observations.
	memory = 12 * time.Second
	// mostTargets is the maximum number of targets in memory.
	mostTargets = 16384
	// mostLog limits the logarithm of one latency ratio, to a factor of 4.5, so that a lost packet
	// or an idle client does not dominate.
	mostLog = 1.5
	// leastWeight is the weight below which observations are dropped.
	leastWeight = 0.25
)

// observed is the exponentially decayed sum of the logarithms of a target's latency ratios.
type observed struct {
	at     time.Time
	weight float64
	sum    float64
	// untold counts the answers since the target was last reported.
	untold int
}

func (o *observed) fade(now time.Time) {
	part := math.Exp(-max(0, now.Sub(o.at).Seconds()) / memory.Seconds())
	o.weight *= part
	o.sum *= part
	o.at = now
}

// Meter holds one daemon's own observations. It is not safe for concurrent use.
type Meter struct {
	targets map[loadshare.Mark]*observed
}

func NewMeter() *Meter { return &Meter{targets: map[loadshare.Mark]*observed{}} }

// Note records the latency ratio of an answer: its time to first byte over the usual one of its
// route.
func (m *Meter) Note(now time.Time, target loadshare.Mark, times float64) {
	if !(times > 0) {
		return
	}
	held := m.targets[target]
	if held == nil {
		if len(m.targets) >= mostTargets {
			return
		}
		held = &observed{at: now}
		m.targets[target] = held
	}
	held.fade(now)
	held.weight++
	held.sum += min(max(math.Log(times), -mostLog), mostLog)
	held.untold++
}

// seen applies the decay, drops targets without observations, and calls call for each other target.
func (m *Meter) seen(now time.Time, call func(target loadshare.Mark, held *observed)) {
	for target, held := range m.targets {
		held.fade(now)
		if held.weight < leastWeight {
			delete(m.targets, target)
			continue
		}
		call(target, held)
	}
}
