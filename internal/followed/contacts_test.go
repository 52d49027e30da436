package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

func TestContactsExpireAndAreBounded(t *testing.T) {
	var held contacts
	for number := range byte(maxContacts) {
		held.add(testStart, peerAddress(number))
	}
	held.add(testStart, peerAddress(200))
	total, above := held.countAbove(testStart, rankOfAddress(peerAddress(9)))
	assert.Equal(t, total, maxContacts)
	assert.Assert(t, above > 0 && above < total)
	later := testStart.Add(contactLifetime)
	held.add(later, peerAddress(200))
	total, _ = held.countAbove(later, 0)
	assert.Equal(t, total, 1, "the others have expired")
}

// A daemon that receives messages delays its read by ReadDelayPerMember for each higher-ranked contact;
// one that receives none reads at once.
func TestReadDelayGrowsWithHigherRankedContacts(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.Tick(testStart)
	contactCount, readDelay := fleet.readDelay(testStart)
	assert.Equal(t, contactCount, 0)
	assert.Equal(t, readDelay, time.Duration(0))
	above := 0
	for number := byte(30); number < 50; number++ {
		peer := membership.Member{Identity: identity.Identity{Address: peerAddress(number), Start: identity.NewStart(1, 3)}, Status: membership.Alive}
		fleet.Serve(testStart, &Pull{Requester: peer})
		fleet.contacts.add(testStart, peer.Identity.Address)
		if rankOfAddress(peer.Identity.Address) > rankOf(fleet.self.Identity) {
			above++
		}
	}
	contactCount, readDelay = fleet.readDelay(testStart)
	assert.Equal(t, contactCount, 20)
	assert.Equal(t, readDelay, time.Duration(above)*fleet.config.ReadDelayPerMember, "all live peers are contacts")
}
