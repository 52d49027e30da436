package token

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/ownership"
)

func TestOpenFlowCounts(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	target, other := &Target{Token: 7}, &Target{Token: 8}
	data, end := &Packet{PayloadLength: 1}, &Packet{IsClosing: true}
	flows := newOpenFlows()
	flows.note(start, 1, 1, target, data)
	assert.Equal(t, len(flows.count(start)), 0, "flow may be for a single request")
	later := start.Add(minOpenFlowAge)
	flows.note(later, 1, 1, target, data)
	flows.note(later, 2, 1, other, &Packet{}) // acknowledgements don't count for a flow's age
	assert.DeepEqual(t, flows.count(later), map[uint32]int{7: 1})
	t.Run("closed flow", func(t *testing.T) {
		flows.note(later, 3, 1, other, data)
		flows.note(later.Add(minOpenFlowAge), 3, 1, other, data)
		assert.Equal(t, flows.count(later.Add(minOpenFlowAge))[8], 1)
		flows.note(later, 3, 1, other, end)
		assert.Equal(t, flows.count(later.Add(minOpenFlowAge))[8], 0)
	})
	t.Run("idle flow", func(t *testing.T) {
		assert.Equal(t, flows.count(later.Add(openFlowDataTimeout - 1))[7], 1)
		assert.Equal(t, flows.count(later.Add(openFlowDataTimeout))[7], 0)
		assert.Equal(t, flows.stats().Count, 2, "idle flow no longer tracked")
		flows.count(later.Add(defaultIdleTimeout - time.Millisecond))
		assert.Equal(t, flows.stats().Count, 2)
		flows.count(later.Add(defaultIdleTimeout))
		assert.Equal(t, flows.stats().Count, 0)
	})
	t.Run("bounded", func(t *testing.T) {
		for flow := range uint64(2 * maxOpenFlows) {
			flows.note(start, flow, 1, target, data)
		}
		stats := flows.stats()
		assert.Equal(t, stats.Count, maxOpenFlows)
		assert.Assert(t, stats.Bytes < 8<<20, "%d bytes", stats.Bytes)
		flows.count(start.Add(defaultIdleTimeout))
		flows.note(start.Add(defaultIdleTimeout), 1, 1, target, data)
		assert.Equal(t, flows.stats().Count, 1, "slots not reused")
		assert.Equal(t, len(flows.flows), maxOpenFlows)
	})
}

// isDeadAt reports only the target with the given token as dead.
func isDeadAt(token uint32) func(uint32) bool {
	return func(target uint32) bool { return target == token }
}

// TestIdleFlowsOfDeadTargetAreTakenOnce also checks the fields that a reset needs.
func TestIdleFlowsOfDeadTargetAreTakenOnce(t *testing.T) {
	flow := newExchange(t)
	flow.send(1, 500, 100)
	flow.send(101, 900, 0) // the response arrived, the caller is idle
	assert.Equal(t, len(flow.requests.TakeIdle(isDeadAt(Of(101)), 10)), 0)
	assert.Equal(t, len(flow.requests.TakeIdle(isDeadAt(Of(100)), 0)), 0, "limit of 0 exceeded")
	assert.DeepEqual(t, flow.requests.TakeIdle(isDeadAt(Of(100)), 10), []Packet{{
		Source: caller(0), Destination: rosterAddress, Token: Of(100), Acknowledgement: 900,
	}}, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, len(flow.requests.TakeIdle(isDeadAt(Of(100)), 10)), 0)
}

// TestEndedFlowsAreNotReset guards later flows from the same port against resets.
func TestEndedFlowsAreNotReset(t *testing.T) {
	for name, end := range map[string]func(flow *exchange){
		"closed":        func(flow *exchange) { flow.note(&Packet{IsClosing: true}) },
		"reset":         func(flow *exchange) { flow.note(&Packet{IsReset: true}) },
		"port reused":   func(flow *exchange) { flow.open(0) },
		"already taken": func(flow *exchange) { flow.requests.TakePending(func(uint64) bool { return true }) },
		"idle timeout": func(flow *exchange) {
			flow.requests.SetIdle(time.Second)
			flow.requests.OpenFlows(flow.now.Add(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			flow := newExchange(t)
			flow.send(1, 500, 100)
			assert.Equal(t, flow.requests.TrackedFlows().Count, 1)
			end(flow)
			assert.Equal(t, flow.requests.TrackedFlows().Count, 0)
		})
	}
}

// TestTimestampsWrap covers the wrap of the millisecond counter after 49 days.
func TestTimestampsWrap(t *testing.T) {
	flows, start := newOpenFlows(), time.UnixMilli(0)
	flows.timestampOf(start)
	before := time.UnixMilli(1<<32 - 500)
	assert.Equal(t, flows.timestampOf(before.Add(time.Second)).since(flows.timestampOf(before)), time.Second)
}

// BenchmarkNoteOpenFlow measures the cost per packet and the memory per flow.
func BenchmarkNoteOpenFlow(b *testing.B) {
	const kept = 36_000 // 50 million among 1,400 daemons
	flows, target := newOpenFlows(), &Target{Token: 7}
	packet := &Packet{Source: caller(1), Destination: rosterAddress, PayloadLength: 1}
	for i := range b.N {
		flows.note(testStart, ownership.KeyOfCaller(1, caller(i%kept)).Hash, 1, target, packet)
	}
	stats := flows.stats()
	b.ReportMetric(float64(stats.Bytes)/float64(stats.Count), "B/flow")
}

// BenchmarkTakeIdle measures the scan of all flows when a target is declared dead.
func BenchmarkTakeIdle(b *testing.B) {
	flows := newOpenFlows()
	for flow := range uint64(36_000) {
		flows.note(testStart, flow, 1, &Target{Token: 7}, &Packet{Source: caller(1), Destination: rosterAddress, PayloadLength: 1})
	}
	for b.Loop() {
		flows.takeDead(isDeadAt(8), 10)
	}
}

// TestFlowUsedSinceTickBeganIsKept guards against forgetting flows whose packets arrive after the
// time with which the control loop counts.
func TestFlowUsedSinceTickBeganIsKept(t *testing.T) {
	start, target, flows := time.Unix(1_800_000_000, 0), &Target{Token: 7}, newOpenFlows()
	flows.note(start, 1, 1, target, &Packet{PayloadLength: 1})
	later := start.Add(time.Second)
	flows.note(later, 1, 1, target, &Packet{PayloadLength: 1})
	assert.DeepEqual(t, flows.count(later.Add(-time.Millisecond)), map[uint32]int{7: 1})
	assert.Equal(t, flows.stats().Count, 1)
	assert.Assert(t, !flows.dataSince(start.Add(-time.Millisecond), 1, 1, 7).Before(start.Add(-time.Second)))
}
