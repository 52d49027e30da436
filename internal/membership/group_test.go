package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/identity"
)

func memberAt(host byte, start uint64) Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
	return Member{Identity: identity.Identity{Address: address, Start: start}, Zone: "zone", Status: Alive}
}

func groupAt(host byte) *Group {
	return NewGroup(DefaultLANConfig(), memberAt(host, 1), rand.New(rand.NewPCG(uint64(host), 0)))
}

var testStart = time.Unix(1000, 0)

func TestAFalseWordOnItselfIsRefuted(t *testing.T) {
	group := groupAt(1)
	suspected := memberAt(1, 1)
	suspected.Status = Suspect
	group.Merge(testStart, []Member{suspected})
	assert.Equal(t, group.Self().Incarnation, uint64(1))
	dead := memberAt(1, 1)
	dead.Status, dead.Incarnation = Dead, 4
	group.Merge(testStart, []Member{dead})
	assert.Equal(t, group.Self().Incarnation, uint64(5))
}

func TestANewRunAtAnAddressEndsTheOldOne(t *testing.T) {
	group := groupAt(1)
	group.Merge(testStart, []Member{memberAt(2, 10)})
	group.Merge(testStart, []Member{memberAt(2, 20)})
	assert.Assert(t, !group.IsLive(memberAt(2, 10).Identity))
	assert.Assert(t, group.IsLive(memberAt(2, 20).Identity))
	group.Merge(testStart, []Member{memberAt(2, 15)})
	assert.Assert(t, group.IsLive(memberAt(2, 20).Identity), "late news of an older run must not win")
	assert.Equal(t, len(group.Live()), 2)
}

func TestAMemberThatLeftDoesNotComeBack(t *testing.T) {
	group := groupAt(1)
	left := memberAt(2, 10)
	left.Status = Left
	group.Merge(testStart, []Member{memberAt(2, 10)})
	group.Merge(testStart, []Member{left})
	alive := memberAt(2, 10)
	alive.Incarnation = 9
	group.Merge(testStart, []Member{alive})
	assert.Assert(t, !group.IsLive(alive.Identity))
}

func TestAPausedMemberForgivesBeforeItJudges(t *testing.T) {
	group := groupAt(1)
	suspected := memberAt(2, 10)
	suspected.Status = Suspect
	group.Tick(testStart)
	group.Merge(testStart, []Member{suspected})
	group.Tick(testStart.Add(time.Minute))
	assert.Assert(t, group.IsLive(suspected.Identity), "a pause of its own must not make it declare another dead")
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 100 * time.Millisecond {
		group.Tick(testStart.Add(time.Minute + elapsed))
	}
	assert.Assert(t, !group.IsLive(suspected.Identity), "without a pause a silent suspect is declared dead")
}

// TestNewsStaysWithinTheByteBudget gives a member far more news than it may
// send, and counts.
func TestNewsStaysWithinTheByteBudget(t *testing.T) {
	group := groupAt(1)
	var others []Member
	for host := range byte(200) {
		others = append(others, memberAt(host+2, 1))
	}
	group.Merge(testStart, others)
	config := DefaultLANConfig()
	const seconds = 60
	sent := 0
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += 50 * time.Millisecond {
		now := testStart.Add(elapsed)
		group.Broadcast([]byte(fmt.Sprintf("%0500d", elapsed)))
		for _, datagram := range group.Tick(now).Datagrams {
			assert.Assert(t, len(datagram.Bytes) <= config.MaximumDatagram, "%d bytes in one datagram", len(datagram.Bytes))
			sent += len(datagram.Bytes)
		}
	}
	// Bare messages come on top: a probe, its helpers, and three gossip headers
	// five times a second.
	const bareBytesPerSecond = 1800
	allowed := config.BurstBytes + seconds*(config.BytesPerSecond+bareBytesPerSecond)
	assert.Assert(t, sent <= allowed, "%d bytes in %d s, allowed are %d", sent, seconds, allowed)
	assert.Assert(t, sent > seconds*config.BytesPerSecond/2, "the budget is there to be used: %d", sent)
}

func TestListsAreReconciledByFingerprint(t *testing.T) {
	one, two := groupAt(1), groupAt(2)
	one.Merge(testStart, []Member{memberAt(2, 1), memberAt(3, 1), memberAt(4, 1)})
	changed := memberAt(3, 1)
	changed.Incarnation = 1
	two.Merge(testStart, []Member{memberAt(1, 1), changed, memberAt(4, 1), memberAt(5, 1)})
	lacking := two.Lacking(one.Fingerprints())
	assert.Equal(t, len(lacking), 2, "one lacks the fifth and holds the third differently: %v", lacking)
	one.Merge(testStart, lacking)
	assert.Equal(t, len(two.Lacking(one.Fingerprints())), 0)
	assert.Equal(t, len(two.Lacking([]byte{1, 2, 3})), 5)
}

func TestForeignDatagramsChangeNothing(t *testing.T) {
	group := groupAt(1)
	group.Merge(testStart, []Member{memberAt(2, 1)})
	from := memberAt(2, 1).Identity.Address
	for _, datagram := range [][]byte{nil, {}, {0xff}, []byte("hello"), (&message{Kind: kindPing, From: memberAt(3, 1).Identity}).encode()} {
		output := group.Step(testStart, from, datagram)
		assert.Equal(t, len(output.Datagrams), 0)
		assert.Assert(t, !output.Changed)
	}
	assert.Equal(t, len(group.Live()), 2)
}

func FuzzStep(f *testing.F) {
	f.Add((&message{Kind: kindPing, From: memberAt(2, 1).Identity, Updates: []Member{memberAt(2, 1)}}).encode())
	f.Add((&message{Kind: kindAck, From: memberAt(2, 1).Identity, Sequence: 1, Broadcasts: [][]byte{{1}}}).encode())
	f.Fuzz(func(t *testing.T, datagram []byte) {
		group := groupAt(1)
		group.Step(testStart, memberAt(2, 1).Identity.Address, datagram)
		group.Tick(testStart)
		assert.Assert(t, group.IsLive(group.Self().Identity))
	})
}
