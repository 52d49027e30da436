package followed

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestASeedThatShowsLifeIsAskedAtOnce, though a question to it is pending, and once only.
func TestASeedThatShowsLifeIsAskedAtOnce(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	assert.Equal(t, len(fleet.Tick(testStart).Pulls), 3)
	heard := func(number byte) []*Pull { return fleet.StepDatagram(testStart, peerAddress(number), nil).Pulls }
	first := heard(2)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].From, peerAddress(2))
	assert.Equal(t, len(heard(2)), 0)
	assert.Equal(t, len(heard(7)), 0, "others are many")
	fleet.StepDelta(testStart, first[0].Number, wholeDelta())
	assert.Equal(t, len(heard(3)), 0, "with a configuration there is no hurry")
	assert.Equal(t, fleet.woken, netip.AddrPort{})
}
