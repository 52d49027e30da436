// Package statistics provides measures of load distribution for reports and simulations.
package statistics

import "math"

// Imbalance measures how unevenly values are distributed.
type Imbalance struct {
	// MaxToMean is the maximum over the mean; 1 means even. It is 0 if the mean is 0.
	MaxToMean float64 `json:"max_to_mean"`
	// Variation is the coefficient of variation, the standard deviation over the mean; 0 means
	// even.
	Variation float64 `json:"coefficient_of_variation"`
}

// ImbalanceOf returns the imbalance of values and their mean.
func ImbalanceOf(values []float64) (Imbalance, float64) {
	total, highest := 0.0, 0.0
	for _, value := range values {
		total += value
		highest = max(highest, value)
	}
	if total == 0 {
		return Imbalance{}, 0
	}
	mean := total / float64(len(values))
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return Imbalance{
		MaxToMean: highest / mean,
		Variation: math.Sqrt(squares/float64(len(values))) / mean,
	}, mean
}
