package labctl

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/lab/storelab"
)

// --first must select exactly the given seeds, without the regression seeds and random ones.
func TestStoreSeeds(t *testing.T) {
	first := uint64(502)
	assert.DeepEqual(t, (&soakCommand{First: &first, Seeds: 3}).storeSeeds(), []uint64{502, 503, 504})
	assert.DeepEqual(t, (&soakCommand{Seed: &first, Seeds: 3}).storeSeeds(), []uint64{502})
	seeds := (&soakCommand{Seeds: 3}).storeSeeds()
	assert.Equal(t, len(seeds), len(storelab.RegressionSeeds)+3)
	assert.Equal(t, seeds[0], storelab.RegressionSeeds[0].Seed)
}
