package storenode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

// A daemon that never knew a route resets its flows once the store has confirmed that the route is
// gone, and logs it. A packet whose token is not valid at its address is dropped silently.
func TestFlowsOfUnknownRouteAreReset(t *testing.T) {
	site := newTestSite(t)
	site.store.Put(storeview.Entry{Key: "config", Configuration: &storeview.Configuration{
		Version: 2, Services: []storeview.Service{{Name: "s"}},
	}})
	site.putTarget()
	lines := &logRecorder{}
	node := site.start(t, 0, site.store, lines.logger())
	nodetest.WaitFor(t, "readiness", func() bool { return node.Ready() == "" })
	counters := node.plane.counters
	site.send(t, 0, token.Of(77), kindData)
	nodetest.WaitFor(t, "a drop", func() bool { return counters.dropped[token.ReasonNoRoute].Load() == 1 })
	site.send(t, 0, token.BoundTokenAt(testRoute, 77), kindData)
	nodetest.WaitFor(t, "a packet that waits for a confirmation", func() bool { return counters.dropped[token.ReasonUnconfirmedRoute].Load() == 1 })
	assert.Equal(t, counters.refused[token.ReasonDroppedRoute].Load(), uint64(0))
	node.Enqueue(func(now time.Time) { node.plane.resetUnrouted(now, now.Add(time.Hour)) })
	assert.Equal(t, receive(t, site.caller)[16], byte(kindReset))
	assert.Equal(t, counters.refused[token.ReasonDroppedRoute].Load(), uint64(1))
	assert.Assert(t, lines.contains("dropped_route"))
}
