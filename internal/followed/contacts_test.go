package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

func TestContactsAreThoseHeardLately(t *testing.T) {
	var held contacts
	for number := range byte(maximumContacts) {
		held.note(testStart, peerAddress(number))
	}
	held.note(testStart, peerAddress(200))
	heard, above := held.ahead(testStart, rankAt(peerAddress(9)))
	assert.Equal(t, heard, maximumContacts)
	assert.Assert(t, above > 0 && above < heard)
	later := testStart.Add(contactLifetime)
	held.note(later, peerAddress(200))
	heard, _ = held.ahead(later, 0)
	assert.Equal(t, heard, 1, "the others have expired")
}

// A daemon that receives messages leaves reading to each higher-ranked peer for a while; one
// that receives none reads at once.
func TestWhoHearsPeersLeavesTheStoreToThoseAbove(t *testing.T) {
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.Tick(testStart)
	heard, turn := fleet.turn(testStart)
	assert.Equal(t, heard, 0)
	assert.Equal(t, turn, time.Duration(0))
	above := 0
	for number := byte(30); number < 50; number++ {
		peer := membership.Member{Identity: identity.Identity{Address: peerAddress(number), Start: identity.NewStart(1, 3)}, Status: membership.Alive}
		fleet.Serve(testStart, &Pull{Asker: peer})
		fleet.contacts.note(testStart, peer.Identity.Address)
		if rankAt(peer.Identity.Address) > readerRank(fleet.self.Identity) {
			above++
		}
	}
	heard, turn = fleet.turn(testStart)
	assert.Equal(t, heard, 20)
	assert.Equal(t, turn, time.Duration(above)*fleet.config.TurnPerMember, "all live peers are contacts")
}
