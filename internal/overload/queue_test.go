package overload

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var caller = netip.MustParseAddrPort("192.0.2.1:1000")

// BenchmarkPopFromFullQueue measures the queue's work per arriving packet by queue length.
func BenchmarkPopFromFullQueue(b *testing.B) {
	for _, count := range []int{0, 8, 128, 512} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			controller := New(DefaultConfig())
			controller.SetShare(20, 10)
			for range 64 {
				controller.RecordResponse(start, route, responseSize)
			}
			for range 100 {
				controller.RecordResponse(start, route, rejectSize)
			}
			for controller.Admit(start, Ordinary) {
				controller.Begin(Ordinary)
			}
			queue := NewQueue[[200]byte](count)
			for range count {
				queue.Push(start, QueuedPacket[[200]byte]{Load: controller, Rank: Ordinary, Deadline: start.Add(time.Hour)})
			}
			for b.Loop() {
				queue.PeekFlow(Flow{Source: caller})
				queue.Pop(start)
			}
		})
	}
}

// flowPacket returns a packet of an open flow queued at start.
func flowPacket(controller *Controller, name string) QueuedPacket[string] {
	waiting := waitingPacket(controller, Ordinary, false, name)
	waiting.Flow = Flow{Source: caller}
	return waiting
}

func TestPacketsOfFlowLeaveQueueTogether(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Ordinary)
	queue := NewQueue[string](8)
	for _, name := range []string{"one", "two"} {
		assert.Assert(t, queue.Push(start, flowPacket(controller, name)))
	}
	late := flowPacket(controller, "three")
	late.ArrivedAt, late.Deadline = start.Add(flowWaitLimit/2), start.Add(flowWaitLimit*3/2)
	assert.Assert(t, queue.Push(late.ArrivedAt, late))
	assert.Equal(t, queue.Len(), 3)
	taken, found := queue.Pop(start.Add(flowWaitLimit))
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "one")
	assert.DeepEqual(t, taken.Behind, []string{"two", "three"})
	assert.Equal(t, queue.Len(), 0)
	assert.Assert(t, queue.PeekFlow(Flow{Source: caller}) == nil)
}

func TestPopFlow(t *testing.T) {
	controller := newOverloadedController(t, 100)
	queue := NewQueue[string](8)
	assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, false, "other")))
	assert.Assert(t, queue.Push(start, flowPacket(controller, "one")))
	assert.Equal(t, queue.PeekFlow(Flow{Source: caller}).Packet, "one")
	taken, found := queue.PopFlow(Flow{Source: caller})
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "one")
	assert.Equal(t, queue.Len(), 1)
	_, found = queue.PopFlow(Flow{Source: caller})
	assert.Assert(t, !found)
}

func TestRequeuedPacketKeepsPosition(t *testing.T) {
	controller := newOverloadedController(t, 100)
	queue := NewQueue[string](8)
	assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, true, "first")))
	second := waitingPacket(controller, Ordinary, true, "second")
	second.ArrivedAt, second.Deadline = start.Add(time.Millisecond), second.Deadline.Add(time.Millisecond)
	assert.Assert(t, queue.Push(second.ArrivedAt, second))
	taken, _ := queue.Pop(start.Add(flowWaitLimit))
	assert.Equal(t, taken.Packet, "first")
	assert.Assert(t, queue.Push(second.ArrivedAt, taken))
	taken, _ = queue.Pop(start.Add(2 * flowWaitLimit))
	assert.Equal(t, taken.Packet, "first")
}

// A new flow may reach its deadline before data that was queued earlier.
func TestPacketsLeaveAtTheirOwnDeadline(t *testing.T) {
	controller := newOverloadedController(t, 100)
	countAdmitted(controller, start, Ordinary)
	queue := NewQueue[string](8)
	data := waitingPacket(controller, Ordinary, false, "data")
	data.Deadline = start.Add(dataWaitLimit)
	assert.Assert(t, queue.Push(start, data))
	assert.Assert(t, queue.Push(start, waitingPacket(controller, Ordinary, true, "flow")))
	taken, found := queue.Pop(start.Add(flowWaitLimit))
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "flow")
	_, found = queue.Pop(start.Add(flowWaitLimit))
	assert.Assert(t, !found)
}
