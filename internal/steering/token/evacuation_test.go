package token

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// newZonedSite has targets of roster in three zones and those of ledger in one.
func newZonedSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	for number := range 6 {
		zone := []string{"a", "b", "c"}[number%3]
		s.target(fmt.Sprint("roster-", number), uint64(100+number), "roster", func(target *storeview.Target) { target.Zone = zone })
	}
	return s
}

func (s *site) evacuate(zone string) {
	s.put(storeview.Entry{Key: "order-" + zone, Order: &storeview.Order{Kind: storeview.OrderEvacuate, Zone: zone}})
}

// countByZone opens count flows one after another and returns the number per zone of their targets.
func (s *site) countByZone(t *testing.T, first, count int) map[string]int {
	t.Helper()
	zones := map[string]int{}
	for number := first; number < first+count; number++ {
		s.now = s.now.Add(time.Second)
		decision := s.open(rosterAddress, number)
		assert.Equal(t, decision.Action, Forward)
		zones[[]string{"a", "b", "c"}[(decision.Target.Identifier-100)%3]]++
	}
	return zones
}

func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	site := newZonedSite(t)
	opened := site.open(rosterAddress, 1)
	assert.Assert(t, site.countByZone(t, 100, 100)["a"] > 90, "own zone not preferred")
	site.evacuate("a")
	zones := site.countByZone(t, 200, 300)
	assert.Equal(t, zones["a"], 0)
	assert.Assert(t, zones["b"] > 100 && zones["c"] > 100, "other zones don't share the flows: %v", zones)
	assert.Equal(t, site.follow(rosterAddress, 1, opened.Target.Token).Action, Forward, "open flow not kept")
	site.remove("order-a")
	assert.Assert(t, site.countByZone(t, 600, 100)["a"] > 0)
}

func TestRetransmittedFirstPacketLeavesEvacuatedZone(t *testing.T) {
	site := newZonedSite(t)
	opened := site.open(rosterAddress, 1)
	site.evacuate("a")
	for _, after := range []time.Duration{0, 200 * time.Millisecond} {
		site.now = site.now.Add(after)
		repeated := site.open(rosterAddress, 1)
		assert.Equal(t, repeated.Action, Forward)
		assert.Assert(t, repeated.Target.Identifier != opened.Target.Identifier && !repeated.Target.IsEvacuated)
	}
}

// TestPossiblyOpenFlowIsNotReset covers a late retransmission of a first packet without an
// eligible target: any reply would reset the flow, so it must be dropped.
func TestPossiblyOpenFlowIsNotReset(t *testing.T) {
	site := newSite(t)
	opened := site.open(rosterAddress, 1)
	site.follow(rosterAddress, 1, opened.Target.Token)
	site.evacuate("a")
	late := site.open(rosterAddress, 1)
	assert.Equal(t, late.Action, Drop)
	assert.Equal(t, late.Reason, ReasonEvacuated)
	assert.Equal(t, site.follow(rosterAddress, 1, opened.Target.Token).Action, Forward)
}

func TestFlowsAreRefusedIfAllTargetsAreEvacuated(t *testing.T) {
	site := newSite(t)
	site.evacuate("a")
	refused := site.open(rosterAddress, 1)
	assert.Equal(t, refused.Action, Refuse)
	assert.Equal(t, refused.Reason, ReasonEvacuated)
	site.remove("order-a")
	assert.Equal(t, site.open(rosterAddress, 2).Action, Forward)
}

// TestNoFallbackToDrainingTargetsInEvacuatedZone checks that the fallback to draining targets does
// not apply in evacuated zones.
func TestNoFallbackToDrainingTargetsInEvacuatedZone(t *testing.T) {
	site := newSite(t)
	for number := range 6 {
		site.target(fmt.Sprint("roster-", number), uint64(100+number), "roster", func(target *storeview.Target) { target.Draining = true })
	}
	assert.Equal(t, site.open(rosterAddress, 1).Action, Forward)
	site.evacuate("a")
	assert.Equal(t, site.open(rosterAddress, 2).Reason, ReasonEvacuated)
}
