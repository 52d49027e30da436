package steering

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/ownership"
)

var (
	rosterAddress = netip.MustParseAddrPort("192.0.2.1:443")
	ledgerAddress = netip.MustParseAddrPort("192.0.2.2:443")
	callerAddress = netip.MustParseAddrPort("198.51.100.7:4000")
)

func testMember(number byte) membership.Member {
	return membership.Member{
		Identity:    identity.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000), Start: 1},
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7003),
		Status:      membership.Alive,
	}
}

func testKeyring(t testing.TB) *connectionid.Keyring {
	t.Helper()
	keyring, err := connectionid.NewKeyring(0, []connectionid.Key{{Secret: bytes.Repeat([]byte{1}, connectionid.KeySize)}})
	assert.NilError(t, err)
	return keyring
}

// testSnapshot has service roster with targets 1 (active), 2 (draining) and 4 (retired), and
// ledger with target 3.
func testSnapshot(t testing.TB, daemons byte) *Snapshot {
	t.Helper()
	state := &catalog.State{
		Revision: 9,
		Services: []catalog.Service{
			{Number: 1, Name: "roster", Address: rosterAddress, Protocol: catalog.ProtocolQUIC},
			{Number: 2, Name: "ledger", Address: ledgerAddress, Protocol: catalog.ProtocolQUIC},
		},
		Targets: []catalog.Target{
			{Number: 1, Service: 1, Name: "one", Address: netip.MustParseAddrPort("10.1.0.1:443"), Weight: 100, State: catalog.TargetActive},
			{Number: 2, Service: 1, Name: "two", Address: netip.MustParseAddrPort("10.1.0.2:443"), Weight: 100, State: catalog.TargetDraining},
			{Number: 3, Service: 2, Name: "three", Address: netip.MustParseAddrPort("10.1.0.3:443"), Weight: 100, State: catalog.TargetActive},
			{Number: 4, Service: 1, Name: "four", Address: netip.MustParseAddrPort("10.1.0.4:443"), Weight: 100, State: catalog.TargetRetired},
		},
	}
	var live []membership.Member
	for number := range daemons {
		live = append(live, testMember(number+1))
	}
	return Build(&Inputs{
		State: state, Live: live, Known: live, Self: testMember(1),
		Keyring: testKeyring(t), LeaseEnds: &atomic.Int64{}, Signals: NewSignals(), Peers: ownership.NewPeers(),
	})
}

func shortPacket(snapshot *Snapshot, route connectionid.Route) []byte {
	id := snapshot.Keyring.Encode(route, [connectionid.NonceSize]byte{7})
	return append(append([]byte{0x40}, id[:]...), "payload"...)
}

func initialPacket(id []byte, size int) []byte {
	packet := []byte{0xc0}
	packet = binary.BigEndian.AppendUint32(packet, versionOne)
	packet = append(packet, byte(len(id)))
	packet = append(packet, id...)
	return append(packet, make([]byte, max(0, size-len(packet)))...)
}

func TestDecide(t *testing.T) {
	snapshot := testSnapshot(t, 1)
	for name, test := range map[string]struct {
		service netip.AddrPort
		payload []byte
		action  Action
		reason  Reason
		target  catalog.TargetNumber
	}{
		"established":                {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 1}), Forward, ReasonNone, 1},
		"established on draining":    {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 2}), Forward, ReasonNone, 2},
		"another service's target":   {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 2, Target: 3}), Drop, ReasonForeignService, 0},
		"mismatched service":         {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 3}), Drop, ReasonForeignService, 0},
		"retired target":             {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 4}), Drop, ReasonTargetGone, 0},
		"unknown target":             {rosterAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 99}), Drop, ReasonTargetGone, 0},
		"unknown service":            {callerAddress, shortPacket(snapshot, connectionid.Route{Service: 1, Target: 1}), Drop, ReasonUnknownService, 0},
		"first flight":               {rosterAddress, initialPacket([]byte("12345678"), 1280), Decide, ReasonNone, 0},
		"truncated first flight":     {rosterAddress, initialPacket([]byte("12345678"), 300), Drop, ReasonShortInitial, 0},
		"first ID too short":         {rosterAddress, initialPacket([]byte("1234"), 1280), Drop, ReasonUnroutable, 0},
		"short header, unroutable":   {rosterAddress, append([]byte{0x40}, make([]byte, 40)...), Drop, ReasonUnroutable, 0},
		"empty":                      {rosterAddress, nil, Drop, ReasonMalformed, 0},
		"truncated long header":      {rosterAddress, []byte{0xc0, 0, 0}, Drop, ReasonMalformed, 0},
		"version negotiation":        {rosterAddress, append([]byte{0x80, 0, 0, 0, 0, 8}, make([]byte, 1280)...), Drop, ReasonUnroutable, 0},
		"handshake with a routed ID": {rosterAddress, longWithID(snapshot, connectionid.Route{Service: 1, Target: 1}), Forward, ReasonNone, 1},
	} {
		t.Run(name, func(t *testing.T) {
			packet := Packet{Service: test.service, Caller: callerAddress, Payload: test.payload}
			decision := snapshot.Decide(&packet, false, new(connectionid.Scratch))
			assert.Equal(t, decision.Action, test.action)
			assert.Equal(t, decision.Reason, test.reason)
			if test.target != 0 {
				assert.Equal(t, decision.Target.Number, test.target)
			}
		})
	}
}

func longWithID(snapshot *Snapshot, route connectionid.Route) []byte {
	id := snapshot.Keyring.Encode(route, [connectionid.NonceSize]byte{})
	packet := initialPacket(id[:], 100)
	packet[0] = 0xe0 // a handshake packet
	return packet
}

func TestHandoverEndsAtOwner(t *testing.T) {
	snapshot := testSnapshot(t, 9)
	handedOver := 0
	for flow := range byte(100) {
		packet := Packet{Service: rosterAddress, Caller: callerAddress, Payload: initialPacket(bytes.Repeat([]byte{flow}, 8), 1280)}
		decision := snapshot.Decide(&packet, false, new(connectionid.Scratch))
		if decision.Action == HandOver {
			handedOver++
		}
		assert.Equal(t, snapshot.Decide(&packet, true, new(connectionid.Scratch)).Action, Decide)
	}
	assert.Assert(t, handedOver > 75 && handedOver < 100, "one of nine daemons handed over %d of 100 flows", handedOver)
}

func TestPartitionedDaemonKeepsDeadMembersAsOwners(t *testing.T) {
	var known []membership.Member
	for number := range byte(6) {
		known = append(known, testMember(number+1))
	}
	dead := func(from int) []membership.Member {
		members := slices.Clone(known)
		for index := from; index < len(members); index++ {
			members[index].Status = membership.Dead
		}
		return members
	}
	left := dead(1)
	left[5].Status = membership.Left
	for _, test := range []struct {
		known  []membership.Member
		live   int
		owners int
	}{{known, 6, 6}, {dead(4), 4, 4}, {dead(3), 3, 6}, {dead(1), 1, 6}, {left, 1, 5}} {
		inputs := Inputs{Live: known[:test.live], Known: test.known}
		assert.Equal(t, len(inputs.owners()), test.owners, "%d live", test.live)
	}
}

func TestUnresponsiveOwnerIsSkipped(t *testing.T) {
	snapshot := testSnapshot(t, 3)
	key := ownership.KeyOfID(1, callerAddress, []byte("12345678"))
	for range 2 {
		owner := snapshot.Owner(key)
		if owner.IsSelf {
			break
		}
		now := time.Unix(1000, 0)
		owner.Peer.RecordSent(now, ownership.Handover{})
		owner.Peer.RecordSent(now, ownership.Handover{})
		owner.Peer.TakeUnacknowledged(now.Add(time.Second))
		assert.Assert(t, snapshot.Owner(key) != owner)
	}
}

func TestDecideEstablishedDoesNotAllocate(t *testing.T) {
	snapshot := testSnapshot(t, 9)
	packet := Packet{Service: rosterAddress, Caller: callerAddress, Payload: shortPacket(snapshot, connectionid.Route{Service: 1, Target: 1})}
	scratch := new(connectionid.Scratch)
	allocations := testing.AllocsPerRun(1000, func() { snapshot.Decide(&packet, false, scratch) })
	assert.Equal(t, allocations, 0.0)
}

func FuzzDecide(f *testing.F) {
	snapshot := testSnapshot(f, 3)
	f.Add(shortPacket(snapshot, connectionid.Route{Service: 1, Target: 1}))
	f.Add(initialPacket([]byte("12345678"), 1280))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255})
	f.Fuzz(func(t *testing.T, payload []byte) {
		packet := Packet{Service: rosterAddress, Caller: callerAddress, Payload: payload}
		decision := snapshot.Decide(&packet, false, new(connectionid.Scratch))
		if decision.Action == Forward && decision.Target.Service.Address != rosterAddress {
			t.Fatalf("packet for roster forwarded to %s", decision.Target.Service.Name)
		}
	})
}

func BenchmarkDecideEstablished(b *testing.B) {
	snapshot := testSnapshot(b, 9)
	packet := Packet{Service: rosterAddress, Caller: callerAddress, Payload: shortPacket(snapshot, connectionid.Route{Service: 1, Target: 1})}
	scratch := new(connectionid.Scratch)
	b.ReportAllocs()
	for b.Loop() {
		snapshot.Decide(&packet, false, scratch)
	}
}

func BenchmarkDecideFirstFlight(b *testing.B) {
	snapshot := testSnapshot(b, 9)
	packet := Packet{Service: rosterAddress, Caller: callerAddress, Payload: initialPacket([]byte("12345678"), 1280)}
	scratch := new(connectionid.Scratch)
	b.ReportAllocs()
	for b.Loop() {
		snapshot.Decide(&packet, false, scratch)
	}
}
