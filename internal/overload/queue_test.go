package overload

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var someone = netip.MustParseAddrPort("192.0.2.1:1000")

// BenchmarkTakeAmongWaiting measures the queue's work per arriving packet by queue length.
func BenchmarkTakeAmongWaiting(b *testing.B) {
	for _, count := range []int{0, 8, 128, 512} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			controller := New(DefaultConfig())
			controller.SetShare(20, 10)
			for range 64 {
				controller.NoteAnswer(start, route, answerSize)
			}
			for range 100 {
				controller.NoteAnswer(start, route, rejectSize)
			}
			for controller.Admit(start, Ordinary) {
				controller.Begin(Ordinary)
			}
			queue := NewQueue[[200]byte](count)
			for range count {
				queue.Put(start, Waiting[[200]byte]{Load: controller, Rank: Ordinary, Until: start.Add(time.Hour)})
			}
			for b.Loop() {
				queue.Of(Flow{Source: someone})
				queue.Take(start)
			}
		})
	}
}

// waitOn returns a packet of an open flow queued at start.
func waitOn(controller *Controller, name string) Waiting[string] {
	waiting := waitAt(controller, Ordinary, false, name)
	waiting.Flow = Flow{Source: someone}
	return waiting
}

func TestPacketsOfAFlowGoOnTogether(t *testing.T) {
	controller := rejected(t, 100)
	admitted(controller, start, Ordinary)
	queue := NewQueue[string](8)
	for _, name := range []string{"one", "two"} {
		assert.Assert(t, queue.Put(start, waitOn(controller, name)))
	}
	late := waitOn(controller, "three")
	late.At, late.Until = start.Add(mostHold/2), start.Add(mostHold*3/2)
	assert.Assert(t, queue.Put(late.At, late))
	assert.Equal(t, queue.Len(), 3)
	taken, found := queue.Take(start.Add(mostHold))
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "one")
	assert.DeepEqual(t, taken.Behind, []string{"two", "three"})
	assert.Equal(t, queue.Len(), 0)
	assert.Assert(t, queue.Of(Flow{Source: someone}) == nil)
}

func TestAFlowCanBeTakenOutOfTheQueue(t *testing.T) {
	controller := rejected(t, 100)
	queue := NewQueue[string](8)
	assert.Assert(t, queue.Put(start, waitAt(controller, Ordinary, false, "other")))
	assert.Assert(t, queue.Put(start, waitOn(controller, "one")))
	assert.Equal(t, queue.Of(Flow{Source: someone}).Packet, "one")
	taken, found := queue.TakeFlow(Flow{Source: someone})
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "one")
	assert.Equal(t, queue.Len(), 1)
	_, found = queue.TakeFlow(Flow{Source: someone})
	assert.Assert(t, !found)
}

func TestWhatMustWaitOnceMoreKeepsItsPlace(t *testing.T) {
	controller := rejected(t, 100)
	queue := NewQueue[string](8)
	assert.Assert(t, queue.Put(start, waitAt(controller, Ordinary, true, "first")))
	second := waitAt(controller, Ordinary, true, "second")
	second.At, second.Until = start.Add(time.Millisecond), second.Until.Add(time.Millisecond)
	assert.Assert(t, queue.Put(second.At, second))
	taken, _ := queue.Take(start.Add(mostHold))
	assert.Equal(t, taken.Packet, "first")
	assert.Assert(t, queue.Put(second.At, taken))
	taken, _ = queue.Take(start.Add(2 * mostHold))
	assert.Equal(t, taken.Packet, "first")
}

// A new flow may reach its deadline before data that was queued earlier.
func TestEachWaitsNoLongerThanItsOwnTime(t *testing.T) {
	controller := rejected(t, 100)
	admitted(controller, start, Ordinary)
	queue := NewQueue[string](8)
	data := waitAt(controller, Ordinary, false, "data")
	data.Until = start.Add(mostDataHold)
	assert.Assert(t, queue.Put(start, data))
	assert.Assert(t, queue.Put(start, waitAt(controller, Ordinary, true, "flow")))
	taken, found := queue.Take(start.Add(mostHold))
	assert.Assert(t, found)
	assert.Equal(t, taken.Packet, "flow")
	_, found = queue.Take(start.Add(mostHold))
	assert.Assert(t, !found)
}
