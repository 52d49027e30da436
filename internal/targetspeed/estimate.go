package targetspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

const (
	// doubt is the weight, in observations, of the prior that a target has the usual speed.
	doubt = 8
	// spread is the approximate standard deviation of the logarithms of a target's single
	// latencies. A deviation below the resulting standard error is treated as noise, so that equal
	// targets get equal shares.
	spread           = 0.5
	Slowest, Fastest = 0.2, 3
)

// Estimate is a target's estimated speed.
type Estimate struct {
	// Speed is relative to the usual speed: 0.5 is half as fast.
	Speed float64
	// Observations is the number of answers behind the estimate, decayed with age.
	Observations float64
}

// opinion is one daemon's weighted estimate: the logarithm of the latency ratio.
type opinion struct{ times, weight float64 }

// Estimates returns the estimates of all targets with observations.
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

// bound limits the highest weight to the second highest, so that no daemon has more than half of the
// total, and returns the total.
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

// median returns the weighted median.
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
