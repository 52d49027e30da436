package targetspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

const (
	// doubt is how many observations an estimate is drawn towards the usual speed with.
	doubt = 8
	// spread is by about how much the logarithms of single answers of one target differ: work
	// differs. What lies within the standard error that follows is taken for noise. Without
	// that 640 instead of 485 of 125,000 requests were turned away by 30 equal targets before
	// 88 daemons of a zone at 70 % load (virtual time, six seeds; 510 if speeds are not
	// learned).
	spread = 0.5
	// Slowest and Fastest bound an estimate.
	Slowest, Fastest = 0.2, 3
)

// Estimate is how fast a target works, by all that is known here.
type Estimate struct {
	// Speed is 1 for a target that is as fast as usual, 0.5 for one half as fast.
	Speed float64
	// Observations is how many answers it rests on, older ones counting less.
	Observations float64
}

// opinion is what one daemon holds of a target, with the weight it has.
type opinion struct{ times, weight float64 }

// Estimates returns the speeds of the targets of which something is known.
func (e *Exchange) Estimates(now time.Time) map[loadshare.Mark]Estimate {
	opinions := map[loadshare.Mark][]opinion{}
	e.meter.seen(now, func(target loadshare.Mark, held *observed) {
		opinions[target] = append(opinions[target], opinion{held.sum / held.weight, min(held.weight, mostWeight)})
	})
	for target, reporters := range e.heard {
		for _, told := range reporters {
			if weight := told.weightAt(now); weight >= leastWeight {
				opinions[target] = append(opinions[target], opinion{float64(told.times), weight})
			}
		}
	}
	estimates := make(map[loadshare.Mark]Estimate, len(opinions))
	for target, of := range opinions {
		estimates[target] = estimateOf(of)
	}
	return estimates
}

func estimateOf(opinions []opinion) Estimate {
	total := bound(opinions)
	log := -median(opinions, total) * total / (total + doubt)
	noise := spread / math.Sqrt(total)
	log = math.Copysign(max(0, math.Abs(log)-noise), log)
	return Estimate{Speed: min(max(math.Exp(log), Slowest), Fastest), Observations: total}
}

// bound lets no daemon among several weigh more than the second, so that none has more than
// half, and returns the sum of the weights.
func bound(opinions []opinion) (total float64) {
	var first, second float64
	for _, opinion := range opinions {
		if opinion.weight > first {
			first, second = opinion.weight, first
		} else {
			second = max(second, opinion.weight)
		}
	}
	for index := range opinions {
		if len(opinions) > 1 {
			opinions[index].weight = min(opinions[index].weight, second)
		}
		total += opinions[index].weight
	}
	return total
}

// median is the weighted median: half of the weight is not above it, half not below.
func median(opinions []opinion, total float64) float64 {
	slices.SortFunc(opinions, func(a, b opinion) int {
		return cmp.Or(cmp.Compare(a.times, b.times), cmp.Compare(a.weight, b.weight))
	})
	below := 0.0
	for index, opinion := range opinions {
		below += opinion.weight
		if below == total/2 && index+1 < len(opinions) {
			return (opinion.times + opinions[index+1].times) / 2
		}
		if below >= total/2 {
			return opinion.times
		}
	}
	return 0
}
