// Package targetspeed estimates how fast targets work compared with the others of their
// service, from how long their answers take to begin.
//
// Each daemon sees few answers of each target, so that the daemons of a zone tell each
// other what they saw (Exchange). An estimate is the weighted median of what they tell: no
// single daemon decides. What is not seen again fades, and a target of which little is
// known counts as being as fast as the others. The package does no I/O and holds no clock.
package targetspeed

import (
	"math"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

const (
	// memory is the time constant with which observations fade: a target that turned slow
	// or recovered shows within as long.
	memory = 12 * time.Second
	// mostTargets bounds the targets that are followed, and the memory for them.
	mostTargets = 16384
	// mostLog bounds one observation, as a logarithm: an answer counts as at most 4.5 times
	// as long as usual, or as short. A lost packet or a caller that rests must not decide.
	mostLog = 1.5
	// leastWeight is below what number of observations nothing is known any more.
	leastWeight = 0.25
)

// observed is what was seen of one target: the logarithms of how many times as long as
// usual its answers took, as a fading sum.
type observed struct {
	at     time.Time
	weight float64
	sum    float64
	// untold is how many answers came since the target was told last.
	untold int
}

func (o *observed) fade(now time.Time) {
	part := math.Exp(-max(0, now.Sub(o.at).Seconds()) / memory.Seconds())
	o.weight *= part
	o.sum *= part
	o.at = now
}

// Meter keeps what one daemon sees. It is not safe for concurrent use.
type Meter struct {
	targets map[loadshare.Mark]*observed
}

// NewMeter makes a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{targets: map[loadshare.Mark]*observed{}} }

// Note takes in that an answer of a target took so many times as long to begin as is usual
// for its route.
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

// seen fades what was observed and calls for each target of which something is known.
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
