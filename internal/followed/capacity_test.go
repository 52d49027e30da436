package followed

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

// newMember returns a member with a link in Mbit/s, a processor in thousandths and memory in MB.
func newMember(number byte, link, processor, memory uint32) membership.Member {
	return membership.Member{
		Identity: identity.Identity{Address: peerAddress(number), Start: identity.NewStart(1, uint64(number))},
		Link:     link, Processor: processor, Memory: memory, Status: membership.Alive,
	}
}

func TestRatingIsLimitedByScarcestResource(t *testing.T) {
	members := []membership.Member{
		newMember(1, 200, 800, 536), newMember(2, 10, 800, 536), newMember(3, 200, 144, 536),
		newMember(4, 200, 800, 64), newMember(5, 100, 400, 268),
	}
	capacity := measureCapacity(members)
	var strong []int
	for index := range members {
		if capacity.isStrong(&members[index]) {
			strong = append(strong, index+1)
		}
	}
	assert.DeepEqual(t, strong, []int{1, 5})
}

func TestSomeMemberIsAlwaysStrong(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		var members []membership.Member
		for number := range byte(1 + random.IntN(9)) {
			members = append(members, newMember(number, random.Uint32N(3)*100, random.Uint32N(1000), random.Uint32N(1000)))
		}
		capacity := measureCapacity(members)
		strong := 0
		for index := range members {
			if capacity.isStrong(&members[index]) {
				strong++
			}
		}
		assert.Assert(t, strong > 0, "%v", members)
	}
}

// newMixedMembers returns members of which every tenth is strong.
func newMixedMembers(count int) []membership.Member {
	var members []membership.Member
	for number := range count {
		member := newMember(byte(number), 10, 144, 144)
		if number%10 == 0 {
			member = newMember(byte(number), 200, 800, 536)
		}
		members = append(members, member)
	}
	return members
}

func TestEveryDaemonHasTwoRelays(t *testing.T) {
	members := newMixedMembers(100)
	capacity := measureCapacity(members)
	relaysOf := map[netip.AddrPort]int{}
	longest := 0
	for index := range members {
		chosen := newRelays(members, &capacity, members[index].Identity.Address, 48)
		assert.Equal(t, chosen.isRelay, index%10 == 0)
		longest = max(longest, len(chosen.audience))
		for _, address := range chosen.audience {
			relaysOf[address]++
		}
	}
	for index := range members {
		expected := relaysPerMember
		if index%10 == 0 {
			expected = 0 // the reader sends to relays
		}
		assert.Equal(t, relaysOf[members[index].Identity.Address], expected, "daemon %d", index)
	}
	assert.Assert(t, longest <= 40, "%d recipients of one relay, 18 on average", longest)
}

func TestNoRelaysInEqualOrSmallGroup(t *testing.T) {
	var alike []membership.Member
	for number := range byte(100) {
		alike = append(alike, newMember(number, 10, 144, 144))
	}
	for name, members := range map[string][]membership.Member{
		"alike": alike, "few": newMixedMembers(40), "one strong": newMixedMembers(100)[1:20],
	} {
		capacity := measureCapacity(members)
		assert.Equal(t, len(newRelays(members, &capacity, members[0].Identity.Address, 48).addresses), 0, name)
	}
	capacity := measureCapacity(newMixedMembers(100))
	assert.Equal(t, len(newRelays(newMixedMembers(100), &capacity, peerAddress(0), 0).addresses), 0, "there are no relays if they are disabled")
}

// Requests beyond the budget are redirected, but not endlessly.
func TestSnapshotsKeepLinkBudget(t *testing.T) {
	serving := newTestFleet(DefaultFleetConfig().ForLink(10 * megabit))
	serving.follower.MergeDelta(testStart, snapshotDelta())
	serving.group.Merge(testStart, []membership.Member{newMember(3, 10, 144, 144)})
	serving.informedPeers.add(peerAddress(3))
	ask := func(now time.Time, redirects int) bool {
		delta := serving.Serve(now, &Pull{Redirects: redirects})
		serving.RecordSnapshotSize(&delta, 20<<10)
		return !delta.IsRedirect
	}
	sent := 0
	for range 10 {
		if ask(testStart, 0) {
			sent++
		}
	}
	assert.Equal(t, sent, 4, "the budget allows a burst of 75 KB")
	assert.Assert(t, ask(testStart, MaxRedirects))
	assert.Assert(t, ask(testStart.Add(time.Minute), 0))
}

func TestBudgetIsIgnoredWithoutAlternativePeer(t *testing.T) {
	serving := newTestFleet(DefaultFleetConfig().ForLink(10 * megabit))
	serving.follower.MergeDelta(testStart, snapshotDelta())
	for range 10 {
		delta := serving.Serve(testStart, &Pull{})
		serving.RecordSnapshotSize(&delta, 20<<10)
		assert.Assert(t, !delta.IsRedirect)
	}
}

// Updates too large for gossip are pulled at once.
func TestLargeUpdateIsPulledAtOnce(t *testing.T) {
	for name, isLarge := range map[string]bool{"long": true, "short": false} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(DefaultFleetConfig())
			fleet.follower.MergeDelta(testStart, snapshotDelta())
			fleet.reconcileAt = testStart.Add(time.Hour)
			fleet.recordAhead(testStart, peerAddress(3), Digest{Revision: 100})
			if isLarge {
				fleet.handleLargeUpdate(testStart, &Delta{Since: 100, Until: 100})
			}
			_, found := fleet.selectPeer(testStart)
			assert.Equal(t, found, isLarge, fmt.Sprint(fleet.View().Revision()))
		})
	}
}

// Updates in quick succession beyond the burst are left to gossip.
func TestBurstLimiter(t *testing.T) {
	var pace burstLimiter
	allowed := 0
	for after := time.Duration(0); after < 10*time.Second; after += 10 * time.Millisecond {
		if pace.allow(testStart.Add(after)) {
			allowed++
		}
	}
	assert.Equal(t, allowed, directBurst+9)
	assert.Assert(t, pace.allow(testStart.Add(time.Minute)))
	assert.Assert(t, pace.allow(testStart.Add(time.Minute)))
	assert.Assert(t, !pace.allow(testStart.Add(time.Minute)))
}

// Earlier versions report neither processor nor memory, which must not make other members weak.
func TestUnreportedCapacityMakesNoMemberWeak(t *testing.T) {
	var live []membership.Member
	for range 8 {
		live = append(live, membership.Member{Link: 200, Processor: 1000, Memory: 512})
	}
	old := membership.Member{Link: 10}
	capacity := measureCapacity(append(live, old))
	assert.Assert(t, capacity.isStrong(&live[0]), "a member with 200 Mbit/s is strong")
	assert.Assert(t, !capacity.isStrong(&old), "a member with 10 Mbit/s is not strong")
}
