package token

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// SetSpeeds updates the relative speeds of targets, given by mark; previous holds those of the last
// call. Signals get speeds normalized to the mean of their service.
func (t *Table) SetSpeeds(now time.Time, previous, speeds map[loadshare.Mark]float64) {
	for mark := range previous {
		if _, isKnown := speeds[mark]; !isKnown {
			t.eachEligible(mark, func(target *Target) { target.Signal.SetSpeed(now, 1) })
		}
	}
	type mean struct {
		sum   float64
		known int
	}
	means := map[string]mean{}
	for mark, speed := range speeds {
		t.eachEligible(mark, func(target *Target) {
			m := means[target.Service]
			means[target.Service] = mean{m.sum + speed, m.known + 1}
		})
	}
	for mark, speed := range speeds {
		t.eachEligible(mark, func(target *Target) {
			m := means[target.Service]
			target.Signal.SetSpeed(now, speed*float64(m.known)/m.sum)
		})
	}
}

// eachEligible calls visit with each target of a mark that can receive new flows of a declared
// service.
func (t *Table) eachEligible(mark loadshare.Mark, visit func(target *Target)) {
	for target := t.index.byMark[mark]; target != nil; target = target.nextSameMark {
		if target.entry != nil && target.IsEligible {
			visit(target)
		}
	}
}

// SpeedOf returns a target's speed relative to the mean of its service, or false if there is no
// such target.
func (t *Table) SpeedOf(now time.Time, identifier uint64) (float64, bool) {
	target := t.targetByIdentifier(identifier)
	if target == nil {
		return 0, false
	}
	return target.Signal.Speed(now), true
}

// SlowestSpeeds returns, by service, the lowest speed among the targets that accept new flows.
func (t *Table) SlowestSpeeds(now time.Time) map[string]float64 {
	slowest := make(map[string]float64, len(t.services))
	for name, service := range t.services {
		for _, entry := range service.eligible.Entries() {
			speed := entry.Signal.Speed(now)
			if lowest, isKnown := slowest[name]; !isKnown || speed < lowest {
				slowest[name] = speed
			}
		}
	}
	return slowest
}
