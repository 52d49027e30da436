package statistics

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestImbalance(t *testing.T) {
	even, mean := ImbalanceOf([]float64{3, 3, 3})
	assert.Equal(t, even, Imbalance{MaxToMean: 1})
	assert.Equal(t, mean, 3.0)
	uneven, _ := ImbalanceOf([]float64{0, 2})
	assert.Equal(t, uneven, Imbalance{MaxToMean: 2, Variation: 1})
	nothing, mean := ImbalanceOf([]float64{0, 0})
	assert.Equal(t, nothing, Imbalance{})
	assert.Equal(t, mean, 0.0)
}
