package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOpenFlowsAreCounted(t *testing.T) {
	begun := time.Unix(1_800_000_000, 0)
	target, other := &Target{Token: 7}, &Target{Token: 8}
	data, end := &Packet{PayloadLength: 1}, &Packet{IsClosing: true}
	flows := newOpenFlows()
	flows.note(begun, 1, target, data)
	assert.Equal(t, len(flows.count(begun)), 0, "it may be for one request")
	later := begun.Add(longFlowAfter)
	flows.note(later, 1, target, data)
	flows.note(later, 2, other, &Packet{}) // an acknowledgement says nothing of its age
	assert.DeepEqual(t, flows.count(later), map[uint32]int{7: 1})
	t.Run("until it ends", func(t *testing.T) {
		flows.note(later, 3, other, data)
		flows.note(later.Add(longFlowAfter), 3, other, data)
		assert.Equal(t, flows.count(later.Add(longFlowAfter))[8], 1)
		flows.note(later, 3, other, end)
		assert.Equal(t, flows.count(later.Add(longFlowAfter))[8], 0)
	})
	t.Run("or is silent", func(t *testing.T) {
		assert.Equal(t, flows.count(later.Add(openFlowSilence - 1))[7], 1)
		assert.Equal(t, flows.count(later.Add(openFlowSilence))[7], 0)
		assert.Equal(t, len(flows.flows), 0)
	})
	t.Run("and only so many", func(t *testing.T) {
		for flow := range uint64(2 * countedFlows) {
			flows.note(begun, flow, target, data)
		}
		assert.Equal(t, len(flows.flows), countedFlows)
	})
}
