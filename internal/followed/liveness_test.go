package followed

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/membership"
)

var compareAddress = cmpopts.EquateComparable(netip.AddrPort{})

func livenessAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 8166)
}

func livenessMember(number int) membership.Member {
	return membership.Member{Identity: identity.Identity{Address: livenessAddress(number), Start: identity.NewStart(1, uint64(number))}, Zone: "a", Status: membership.Alive}
}

// newLivenessFleet returns a daemon that knows all others.
func newLivenessFleet(self, daemons int) *Fleet {
	fleet := NewFleet(DefaultFleetConfig(), livenessMember(self), nil, rand.New(rand.NewPCG(1, uint64(self))))
	var members []membership.Member
	for number := range daemons {
		members = append(members, livenessMember(number))
	}
	fleet.group.Merge(testStart, members)
	return fleet
}

func TestDaemonsAgreeOnJudges(t *testing.T) {
	const daemons = 20
	chosen := map[netip.AddrPort]bool{}
	for target := range uint64(50) {
		first := newLivenessFleet(0, daemons).audience(&liveness.Outgoing{Report: liveness.Report{Subject: liveness.Subject{Target: target}}, Judges: 2})
		assert.Equal(t, len(first), 2)
		for self := range 5 {
			report := &liveness.Outgoing{Report: liveness.Report{Subject: liveness.Subject{Target: target}}, Judges: 4}
			assert.DeepEqual(t, newLivenessFleet(self, daemons).audience(report)[:2], first, compareAddress)
		}
		chosen[first[0]] = true
	}
	assert.Assert(t, len(chosen) > daemons/2, "judges are spread over the daemons")
}

// Reports to one daemon are combined into one datagram.
func TestReportsAreBatched(t *testing.T) {
	sender, receiver := newLivenessFleet(0, 3), newLivenessFleet(1, 3)
	reports := []liveness.Outgoing{
		{Report: liveness.Report{Subject: liveness.Subject{Target: 1}, Kind: liveness.Dead, AgeMilliseconds: 700}},
		{Report: liveness.Report{Subject: liveness.Subject{Zone: "a"}, Kind: liveness.Alive}, To: livenessAddress(1)},
	}
	datagrams := sender.LivenessDatagrams(reports)
	assert.Equal(t, len(datagrams), 2, "one datagram per other daemon")
	assert.Equal(t, datagrams[0].To, livenessAddress(1))
	received := receiver.StepDatagram(testStart, livenessAddress(0), datagrams[0].Bytes).Liveness
	assert.DeepEqual(t, received, []liveness.Received{
		{Report: reports[0].Report, From: livenessAddress(0)}, {Report: reports[1].Report, From: livenessAddress(0)},
	}, compareAddress)
}

// Reports that waited in the socket during a pause are dropped, since their ages count from
// when they were sent.
func TestReportsDelayedByPauseAreDropped(t *testing.T) {
	sender, receiver := newLivenessFleet(0, 2), newLivenessFleet(1, 2)
	datagrams := sender.LivenessDatagrams([]liveness.Outgoing{{Report: liveness.Report{Subject: liveness.Subject{Target: 1}, Kind: liveness.Dead}}})
	receiver.Tick(testStart)
	resumedAt := testStart.Add(10 * time.Second)
	assert.Equal(t, len(receiver.StepDatagram(resumedAt, livenessAddress(0), datagrams[0].Bytes).Liveness), 0)
}
