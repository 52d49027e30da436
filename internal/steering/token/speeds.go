package token

import (
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// SetSpeeds updates the relative speeds of targets, given by mark; before holds the previous ones.
// Signals get speeds normalised to the mean of their service.
func (t *Table) SetSpeeds(now time.Time, before, speeds map[loadshare.Mark]float64) {
	for mark := range before {
		if _, isKnown := speeds[mark]; !isKnown {
			t.eachOpen(mark, func(target *Target) { target.Signal.SetSpeed(now, 1) })
		}
	}
	type mean struct {
		sum   float64
		known int
	}
	means := map[string]mean{}
	for mark, times := range speeds {
		t.eachOpen(mark, func(target *Target) {
			of := means[target.Service]
			means[target.Service] = mean{of.sum + times, of.known + 1}
		})
	}
	for mark, times := range speeds {
		t.eachOpen(mark, func(target *Target) {
			of := means[target.Service]
			target.Signal.SetSpeed(now, times*float64(of.known)/of.sum)
		})
	}
}

// eachOpen calls visit with each target of a mark that can receive new flows of a declared
// service.
func (t *Table) eachOpen(mark loadshare.Mark, visit func(target *Target)) {
	for target := t.index.marks[mark]; target != nil; target = target.sameMark {
		if target.entry != nil && target.MayOpen {
			visit(target)
		}
	}
}

// SpeedOf returns a target's speed relative to the mean of its service, or false if there is no
// such target.
func (t *Table) SpeedOf(now time.Time, identifier uint64) (float64, bool) {
	target := t.targetOf(identifier)
	if target == nil {
		return 0, false
	}
	return target.Signal.Speed(now), true
}

// SlowestSpeeds returns, by service, the lowest speed among the targets that accept new flows.
func (t *Table) SlowestSpeeds(now time.Time) map[string]float64 {
	slowest := make(map[string]float64, len(t.services))
	for name, service := range t.services {
		for _, entry := range service.open.Entries() {
			speed := entry.Signal.Speed(now)
			if held, isKnown := slowest[name]; !isKnown || speed < held {
				slowest[name] = speed
			}
		}
	}
	return slowest
}
