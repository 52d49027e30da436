package storenode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/overload"
)

// overloadService overloads the only service of a daemon: its targets reject requests, and more are in
// progress than the limit allows. The rejections are in the future, so that they cannot expire during
// the test.
func overloadService(t *testing.T, node *Node, inProgress int) (load *overload.Controller) {
	t.Helper()
	node.plane.mutex.Lock()
	defer node.plane.mutex.Unlock()
	node.plane.table.Load().EachLoad(func(_ string, controller *overload.Controller) { load = controller })
	for range 50 {
		load.RecordResponse(time.Now(), 1, 1000)
	}
	for range 50 {
		load.RecordResponse(time.Now().Add(time.Hour), 1, 100)
	}
	for range inProgress {
		load.Begin(overload.Preferred)
	}
	return load
}

func TestFlowWithoutCapacityIsQueuedThenRefused(t *testing.T) {
	lines := &logRecorder{}
	site, node := startReady(t, lines.logger())
	load := overloadService(t, node, 100)
	nodetest.WaitFor(t, "the limit, which applies once shares are known", func() bool {
		status, _ := node.Status()
		return status.Loads[0].IsLimited
	})
	site.send(t, 0, 0, kindFirst)
	reset := receive(t, site.caller)
	assert.Equal(t, reset[testHeaderBytes-1], byte(kindReset))
	assert.Equal(t, node.plane.counters.queued.Load(), uint64(1))
	nodetest.WaitFor(t, "the log line", func() bool { return lines.contains("limiting requests in progress") })
	t.Run("and is forwarded once there is capacity", func(t *testing.T) {
		node.plane.mutex.Lock()
		for range 100 {
			load.End(overload.Preferred)
		}
		node.plane.mutex.Unlock()
		site.send(t, 0, 0, kindFirst)
		assert.Assert(t, len(receive(t, site.target)) > 0)
	})
}
