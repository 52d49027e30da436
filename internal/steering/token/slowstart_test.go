package token

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// newSlowStartSite has a service whose targets get a limited rate of new flows in slow start. Half of
// them are in slow start.
func newSlowStartSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	s.put(storeview.Entry{Key: "config", Configuration: &storeview.Configuration{
		Version: 100, Routes: standardRoutes(), Services: []storeview.Service{{Name: "roster", SlowStartRate: 4}, {Name: "ledger"}},
	}})
	for number := range 3 {
		s.target(fmt.Sprint("roster-", number), uint64(100+number), "roster", func(target *storeview.Target) { target.SlowStartRemaining = 5 * time.Second })
	}
	return s
}

func TestSlowStartTargetsGetTheirShare(t *testing.T) {
	site := newSlowStartSite(t)
	rates := map[uint64]float64{}
	site.table.SetSlowStartShares(site.now, func(identifier uint64, rate float64) int {
		rates[identifier] = rate
		return 2
	})
	assert.DeepEqual(t, rates, map[uint64]float64{100: 4, 101: 4, 102: 4})
	counts := map[uint64]int{}
	for number := range 100 {
		decision := site.open(rosterAddress, number)
		assert.Equal(t, decision.Action, Forward)
		counts[decision.Target.Identifier]++
	}
	for identifier := range rates {
		assert.Assert(t, counts[identifier] <= 2, "%d got %d flows at once", identifier, counts[identifier])
	}
	site.now = site.now.Add(5 * time.Second)
	site.table.SetSlowStartShares(site.now, func(uint64, float64) int {
		t.Error("share requested for a target past slow start")
		return 0
	})
	clear(counts)
	for number := range 100 {
		counts[site.open(rosterAddress, 1000+number).Target.Identifier]++
	}
	assert.Assert(t, counts[100]+counts[101]+counts[102] > 30, "%v", counts)
}
