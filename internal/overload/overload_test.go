package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

const (
	route        = 1
	responseSize = 1100
	rejectSize   = 150
)

// newLearnedController returns a controller with learned response lengths, at one of ten daemons that
// share 20 slots.
func newLearnedController(t *testing.T) *Controller {
	t.Helper()
	controller := New(DefaultConfig())
	controller.SetShare(20, 10)
	for range initialResponses + 2*currentWindow {
		assert.Assert(t, !controller.RecordResponse(start, route, responseSize))
	}
	return controller
}

// responsesBelowThreshold is the number of short responses before the share of short ones exceeds the
// threshold, from a baseline of 0.
const responsesBelowThreshold = 3

// newOverloadedController returns a controller whose targets rejected count requests.
func newOverloadedController(t *testing.T, count int) *Controller {
	t.Helper()
	controller := newLearnedController(t)
	for index := range count {
		if index < responsesBelowThreshold {
			assert.Assert(t, !controller.RecordResponse(start, route, rejectSize), "a few short responses must not count as rejections")
			continue
		}
		assert.Assert(t, controller.RecordResponse(start, route, rejectSize))
	}
	return controller
}

// countAdmitted counts how many requests of a rank are admitted.
func countAdmitted(controller *Controller, now time.Time, rank Rank) int {
	for count := range 100 {
		if !controller.Admit(now, rank) {
			return count
		}
		controller.Begin(rank)
	}
	return 100
}

func TestNoLimitWithoutRejections(t *testing.T) {
	assert.Equal(t, countAdmitted(newLearnedController(t), start, Ordinary), 100)
}

func TestFewRejectionsDoNotActivateLimit(t *testing.T) {
	assert.Equal(t, countAdmitted(newOverloadedController(t, minEvidence-1), start, Ordinary), 100)
}

func TestLimitIsAtLeastFairShare(t *testing.T) {
	controller := newOverloadedController(t, 100)
	assert.Equal(t, countAdmitted(controller, start, Ordinary), 4)
	assert.Assert(t, !controller.Admit(start, Ordinary))
	controller.End(Ordinary)
	assert.Assert(t, controller.Admit(start, Ordinary), "a request must be admitted once another has ended")
}

func TestPreferredRequestsAreAdmittedBeyondOrdinaryLimit(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Ordinary)
	assert.Assert(t, controller.Admit(start, Preferred))
	t.Run("and displaces ordinary requests", func(t *testing.T) {
		controller := newOverloadedController(t, 100)
		countAdmitted(controller, start, Preferred)
		assert.Equal(t, countAdmitted(controller, start, Ordinary), 0)
	})
}

func TestOrdinaryFlowsAreNotStarved(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Preferred)
	count := 0
	for tick := range 100 {
		if controller.AdmitFlow(start.Add(time.Duration(tick)*100*time.Millisecond), Ordinary) {
			count++
		}
		controller.rejectedAt = start.Add(time.Duration(tick) * 100 * time.Millisecond)
	}
	assert.Equal(t, count, 10, "want one per starvationInterval")
}

func TestLimitGrowsOnlyWhileEffective(t *testing.T) {
	controller := newOverloadedController(t, 100)
	before, _ := controller.Limit(start)
	countAdmitted(controller, start, Ordinary)
	for range 100 {
		controller.RecordResponse(start, route, responseSize)
	}
	after, _ := controller.Limit(start)
	assert.Assert(t, after > 2*before, "%v after %v", after, before)
	t.Run("and not while it has no effect", func(t *testing.T) {
		controller := newOverloadedController(t, 100)
		before, _ := controller.Limit(start)
		for range 100 {
			controller.RecordResponse(start, route, responseSize)
		}
		after, _ := controller.Limit(start)
		assert.Equal(t, after, before)
	})
}

func TestLimitExpiresWithoutRejections(t *testing.T) {
	controller := newOverloadedController(t, 100)
	_, isLimited := controller.Limit(start.Add(limitExpiry - time.Millisecond))
	assert.Assert(t, isLimited)
	_, isLimited = controller.Limit(start.Add(limitExpiry))
	assert.Assert(t, !isLimited)
}

func TestNoLimitWithoutKnownShare(t *testing.T) {
	for name, known := range map[string][2]int{"no daemons": {40, 0}, "no targets": {0, 10}} {
		t.Run(name, func(t *testing.T) {
			controller := newOverloadedController(t, 100)
			controller.SetShare(known[0], known[1])
			assert.Equal(t, countAdmitted(controller, start, Ordinary), 100)
		})
	}
	t.Run("switched off", func(t *testing.T) {
		controller := newOverloadedController(t, 100)
		controller.config.Enabled = false
		assert.Equal(t, countAdmitted(controller, start, Ordinary), 100)
	})
}

// In a large fleet a daemon's fair share may be less than one request.
func TestLimitIsAtLeastOneRequest(t *testing.T) {
	controller := newOverloadedController(t, 100)
	controller.SetShare(40, 350)
	controller.limit = 0
	controller.SetShare(40, 350)
	assert.Equal(t, countAdmitted(controller, start, Ordinary), 1)
}

// Under overload most responses are rejections.
func TestRejectionsDoNotBecomeBaseline(t *testing.T) {
	controller := newOverloadedController(t, responsesBelowThreshold)
	for range 1000 {
		assert.Assert(t, controller.RecordResponse(start, route, rejectSize))
	}
	assert.Assert(t, !controller.RecordResponse(start, route, responseSize))
}

func TestNewFlowCountsUntilEstablished(t *testing.T) {
	controller := newLearnedController(t)
	controller.Opened(start, Ordinary)
	assert.Equal(t, controller.InProgress(start, Ordinary), 1.0)
	controller.Established(start, Ordinary)
	controller.Begin(Ordinary)
	assert.Equal(t, controller.InProgress(start, Ordinary), 1.0)
	controller.Opened(start, Preferred)
	assert.Assert(t, controller.InProgress(start.Add(10*openingDecay), Preferred) < 0.01, "an abandoned flow still counts")
}

// waitingPacket returns a packet queued at start for a service.
func waitingPacket(controller *Controller, rank Rank, isOpening bool, name string) QueuedPacket[string] {
	return QueuedPacket[string]{Load: controller, Rank: rank, IsOpening: isOpening, ArrivedAt: start, Deadline: start.Add(flowWaitLimit), Packet: name}
}

func TestQueueOrder(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Ordinary)
	queue := NewQueue[string](10)
	for _, waiting := range []QueuedPacket[string]{
		waitingPacket(controller, Ordinary, true, "one"), waitingPacket(controller, Ordinary, false, "two"), waitingPacket(controller, Preferred, true, "three"),
	} {
		assert.Assert(t, queue.Push(start, waiting))
	}
	first, _ := queue.Pop(start)
	assert.Equal(t, first.Packet, "three")
	_, found := queue.Pop(start)
	assert.Assert(t, !found, "ordinary packet left the queue although the limit is reached")
	controller.End(Ordinary)
	second, _ := queue.Pop(start)
	assert.Equal(t, second.Packet, "one")
	controller.Begin(Ordinary)
	third, found := queue.Pop(start.Add(flowWaitLimit))
	assert.Assert(t, found)
	assert.Equal(t, third.Packet, "two", "a packet must leave the queue at its deadline")
}

func TestFlowBeyondExpectedCapacityIsNotQueued(t *testing.T) {
	controller := newOverloadedController(t, 100)
	queue := NewQueue[string](10)
	for range 4 {
		assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, true, "flow")))
	}
	assert.Assert(t, !queue.Push(start, waitingPacket(controller, Ordinary, true, "flow")))
	assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, false, "request")))
	assert.Equal(t, queue.Len(), 5)
}

// A momentarily wrong number of daemons must have no lasting effect on the limit.
func TestMomentaryShareHasNoLastingEffect(t *testing.T) {
	controller := newOverloadedController(t, 100)
	before, _ := controller.Limit(start)
	controller.SetShare(20, 1)
	during, _ := controller.Limit(start)
	assert.Assert(t, during > before, "the limit must be at least the fair share")
	controller.RecordResponse(start, route, rejectSize)
	controller.SetShare(20, 10)
	after, _ := controller.Limit(start)
	assert.Equal(t, after, before)
}

func TestRejectionDoesNotReviveExpiredLimit(t *testing.T) {
	controller := newOverloadedController(t, 100)
	later := start.Add(time.Hour)
	controller.RecordResponse(later, route, rejectSize)
	_, isLimited := controller.Limit(later)
	assert.Assert(t, !isLimited)
}

func TestDisabledControllerIgnoresResponses(t *testing.T) {
	controller := New(Config{})
	controller.SetShare(20, 10)
	for range 1000 {
		assert.Assert(t, !controller.RecordResponse(start, route, responseSize))
	}
	for range 100 {
		assert.Assert(t, !controller.RecordResponse(start, route, rejectSize))
	}
	assert.Equal(t, len(controller.responseLengths), 0)
	var none *Controller
	assert.Assert(t, !none.RecordResponse(start, route, rejectSize))
}

// The limit may expire between the decision to queue a flow and its queuing.
func TestFlowIsQueuedIfLimitJustExpired(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Ordinary)
	assert.Assert(t, !controller.Admit(start, Ordinary))
	controller.SetShare(0, 0)
	queue := NewQueue[string](10)
	assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, true, "flow")))
}
