package followed

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

func TestDifferenceWithoutBaseKeepsRevision(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	pull := fleet.Tick(testStart).Pulls[0]
	fleet.StepDelta(testStart, pull.Number, snapshotDelta())
	orphan := storeview.Entry{Key: "config", Revision: 12, Difference: &storeview.Difference{Base: 11, Version: 9}}
	change, isComplete := fleet.follower.MergeDelta(testStart, &Delta{Since: 9, Until: 12, Entries: []storeview.Entry{orphan}})
	assert.Assert(t, change.LacksBase && !isComplete)
	assert.Equal(t, fleet.View().Revision(), uint64(9))
}

// The delta for one changed route out of 4,400 fits into a gossip message.
func TestSmallChangeOfLargeConfigurationFitsGossip(t *testing.T) {
	config := DefaultFleetConfig()
	fleet := newTestFleet(config)
	var routes []storeview.Route
	for number := range uint16(4400) {
		routes = append(routes, testRoute(number, 0))
	}
	first := configurationEntry(5, 1, routes...)
	pull := fleet.Tick(testStart).Pulls[0]
	fleet.StepDelta(testStart, pull.Number, &Delta{Until: 9, Entries: []storeview.Entry{first}})
	changed := slices.Clone(routes)
	changed[7].Objective = time.Second
	second := configurationEntry(10, 2, changed...)
	fleet.View().Merge(testStart, []storeview.Entry{second})
	entries := fleet.withDifferences(testStart, []storeview.Entry{second}, 5)
	payload := encode(gossipMessage{Delta: &Delta{Since: 9, Until: 10, Entries: entries}})
	assert.Assert(t, len(payload) < config.MaxGossipBytes/2, "%d bytes", len(payload))
}
