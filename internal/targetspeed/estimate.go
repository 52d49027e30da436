package targetspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

const (
	// priorWeight is the weight, in observations, of the prior that a target has the usual speed.
	priorWeight = 8
	// logRatioDeviation is the approximate standard deviation of the logarithms of a target's single
	// latencies. A deviation below the resulting standard error is treated as noise, so that equal
	// targets get equal shares. Otherwise equal targets at 70 % load reject a third more requests.
	logRatioDeviation  = 0.5
	MinSpeed, MaxSpeed = 0.2, 3
)

// Estimate is a target's estimated speed.
type Estimate struct {
	// Speed is relative to the usual speed: 0.5 is half as fast.
	Speed float64
	// Observations is the number of responses behind the estimate, decayed with age.
	Observations float64
}

// observation is one daemon's weighted estimate: the logarithm of the latency ratio.
type observation struct{ logRatio, weight float64 }

// Estimates returns the estimates of all targets with observations.
func (e *Exchange) Estimates(now time.Time) map[loadshare.Mark]Estimate {
	observations := map[loadshare.Mark][]observation{}
	e.meter.forEach(now, func(target loadshare.Mark, observed *decayedSum) {
		observations[target] = append(observations[target], observation{observed.sum / observed.weight, min(observed.weight, maxWeight)})
	})
	for target, reporters := range e.received {
		for _, stored := range reporters {
			if weight := stored.weightAt(now); weight >= minWeight {
				observations[target] = append(observations[target], observation{float64(stored.logRatio), weight})
			}
		}
	}
	estimates := make(map[loadshare.Mark]Estimate, len(observations))
	for target, reported := range observations {
		estimates[target] = estimateOf(reported)
	}
	return estimates
}

func estimateOf(observations []observation) Estimate {
	total := capWeights(observations)
	log := -median(observations, total) * total / (total + priorWeight)
	noise := logRatioDeviation / math.Sqrt(total)
	log = math.Copysign(max(0, math.Abs(log)-noise), log)
	return Estimate{Speed: min(max(math.Exp(log), MinSpeed), MaxSpeed), Observations: total}
}

// capWeights limits the highest weight to the second highest, so that no daemon has more than half of the
// total, and returns the total.
func capWeights(observations []observation) (total float64) {
	var first, second float64
	for _, observation := range observations {
		if observation.weight > first {
			first, second = observation.weight, first
		} else {
			second = max(second, observation.weight)
		}
	}
	for index := range observations {
		if len(observations) > 1 {
			observations[index].weight = min(observations[index].weight, second)
		}
		total += observations[index].weight
	}
	return total
}

// median returns the weighted median.
func median(observations []observation, total float64) float64 {
	slices.SortFunc(observations, func(a, b observation) int {
		return cmp.Or(cmp.Compare(a.logRatio, b.logRatio), cmp.Compare(a.weight, b.weight))
	})
	below := 0.0
	for index, observation := range observations {
		below += observation.weight
		if below == total/2 && index+1 < len(observations) {
			return (observation.logRatio + observations[index+1].logRatio) / 2
		}
		if below >= total/2 {
			return observation.logRatio
		}
	}
	return 0
}
