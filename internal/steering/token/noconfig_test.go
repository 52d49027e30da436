package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// newEarlyTable is the table of a daemon that knows targets but no routes.
func newEarlyTable(t *testing.T, entries ...storeview.Entry) *Table {
	t.Helper()
	view := storeview.New(time.Minute)
	view.Merge(testStart, entries)
	return NewBuilder(time.Minute).Build(testStart, view)
}

func TestOpenFlowsAreForwardedBeforeRoutesAreKnown(t *testing.T) {
	known := newEarlyTable(t, storeview.Entry{Key: "roster-0", Revision: 3, Target: &storeview.Target{Identifier: 100, Service: "roster"}})
	assert.Assert(t, known != nil && !known.HasRoutes() && known.HasTargets())
	forwarded := known.SteerWithoutRoutes(testStart, &Packet{Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 100)})
	assert.Equal(t, forwarded.Action, Forward)
	assert.Equal(t, forwarded.Target.Identifier, uint64(100))
	assert.Equal(t, forwarded.BoundToken(), BoundTokenAt(rosterAddress, 100))
	elsewhere := known.SteerWithoutRoutes(testStart, &Packet{Destination: ledgerAddress, Token: BoundTokenAt(rosterAddress, 100)})
	assert.Equal(t, elsewhere.Action, Hold, "token bound to another address")
	unknown := known.SteerWithoutRoutes(testStart, &Packet{Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 101)})
	assert.Equal(t, unknown.Action, Hold, "a target learned later may have the token")
}

func TestNoTableWithoutRoutesAndTargets(t *testing.T) {
	assert.Assert(t, newEarlyTable(t) == nil)
}

// TestSteeringBeforeRoutesDoesNotAllocate guards against allocations for the burst of packets
// after a restart of all daemons.
func TestSteeringBeforeRoutesDoesNotAllocate(t *testing.T) {
	known := newEarlyTable(t, storeview.Entry{Key: "roster-0", Revision: 3, Target: &storeview.Target{Identifier: 100, Service: "roster"}})
	packet := &Packet{Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 100)}
	assert.Equal(t, testing.AllocsPerRun(100, func() { known.SteerWithoutRoutes(testStart, packet) }), 0.0)
}
