package ownership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newNodes(count int) []Node {
	var nodes []Node
	for index := range count {
		nodes = append(nodes, Node{Seed: SeedOf([]byte(fmt.Sprint("node-", index))), Weight: 1})
	}
	return nodes
}

func TestRendezvousMovesOnlyFlowsOfLostNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newNodes(rapid.IntRange(2, 30).Draw(t, "nodes"))
		lost := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		hash := rapid.Uint64().Draw(t, "hash")
		before := Rendezvous(hash, nodes)
		second := RendezvousUnweighted(hash, nodes, func(index int) bool { return index == before })
		remaining := append(append([]Node(nil), nodes[:lost]...), nodes[lost+1:]...)
		after := remaining[Rendezvous(hash, remaining)]
		if none := func(int) bool { return false }; RendezvousUnweighted(hash, nodes, none) != before {
			t.Fatalf("weighted and unweighted choices differ for %x at equal weights", hash)
		}
		want := nodes[before]
		if before == lost {
			want = nodes[second]
		}
		if after != want {
			t.Fatalf("flow %x moved from %d to a node other than %d", hash, before, second)
		}
	})
}

func TestRendezvousFollowsWeights(t *testing.T) {
	nodes := newNodes(4)
	nodes[0].Weight = 3
	counts := make([]int, len(nodes))
	const flows = 60_000
	for flow := range uint64(flows) {
		counts[Rendezvous(murmurFinalizer(flow), nodes)]++
	}
	share := float64(counts[0]) / flows
	assert.Assert(t, share > 0.48 && share < 0.52, "weight 3 of 6 got %.3f", share)
}

func TestPinsExpireAndStayBounded(t *testing.T) {
	const capacity = 64 * shardCount
	table := NewTable(capacity, 10*time.Second)
	now := time.Unix(1000, 0)
	store := func(flow int, at time.Time) {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(flow >> 8), byte(flow)}), uint16(flow>>16)+1)
		table.Update(at, KeyOfCaller(1, caller), func(Pin, bool) (Pin, bool) { return Pin{Target: 7, Created: at}, true })
	}
	for flow := range 3 * capacity {
		store(flow, now)
	}
	assert.Assert(t, table.Len() <= capacity, "%d pins of %d", table.Len(), capacity)
	assert.Assert(t, table.Len() > capacity/2)
	for flow := range 3 * capacity {
		store(flow, now.Add(time.Minute))
	}
	caller := netip.MustParseAddrPort("10.0.0.1:1")
	table.Update(now.Add(5*time.Minute), KeyOfCaller(1, caller), func(_ Pin, found bool) (Pin, bool) {
		assert.Assert(t, !found, "found an expired pin")
		return Pin{}, false
	})
}

func TestMarkAnsweredOnlyOnceForPinnedTarget(t *testing.T) {
	table := NewTable(1024, 10*time.Second)
	now := time.Unix(1000, 0)
	caller := netip.MustParseAddrPort("10.0.0.1:1")
	key := KeyOfID(1, caller, []byte("12345678"))
	table.Update(now, key, func(Pin, bool) (Pin, bool) { return Pin{Target: 7, Created: now}, true })
	assert.Assert(t, !table.MarkAnswered(1, caller, 8), "recorded another target's answer")
	assert.Assert(t, table.MarkAnswered(1, caller, 7))
	assert.Assert(t, !table.MarkAnswered(1, caller, 7))
}

func TestUnresponsivePeerIsAvoided(t *testing.T) {
	peers := NewPeers()
	address := netip.MustParseAddrPort("10.0.0.9:7003")
	now := time.Unix(1000, 0)
	peers.Get(address).RecordSent(now, Handover{Payload: []byte("one")})
	peers.Get(address).RecordSent(now, Handover{Payload: []byte("two")})
	assert.Equal(t, len(peers.TakeUnacknowledged(now.Add(ackTimeout/2))), 0)
	assert.Equal(t, len(peers.TakeUnacknowledged(now.Add(ackTimeout))), 2)
	assert.Assert(t, peers.Get(address).IsAvoided())
	assert.Equal(t, len(peers.TakeUnacknowledged(now.Add(ackTimeout+avoidDuration))), 0)
	assert.Assert(t, !peers.Get(address).IsAvoided(), "it must be tried again")
	later := now.Add(time.Minute)
	peers.Get(address).RecordSent(later, Handover{})
	peers.Get(address).RecordSent(later, Handover{})
	peers.TakeUnacknowledged(later.Add(ackTimeout))
	peers.TakeUnacknowledged(later.Add(ackTimeout + avoidDuration))
	assert.Assert(t, peers.Get(address).IsAvoided(), "the second timeout doubles the avoidance")
	peers.TakeUnacknowledged(later.Add(ackTimeout + 2*avoidDuration))
	assert.Assert(t, !peers.Get(address).IsAvoided())
	peers.Get(address).RecordSent(now, Handover{})
	peers.Get(address).RecordAcknowledgement()
	assert.Equal(t, len(peers.TakeUnacknowledged(now.Add(time.Hour))), 0)
}

func BenchmarkRendezvous1400Nodes(b *testing.B) {
	nodes := newNodes(1400)
	b.ReportAllocs()
	hash := uint64(0)
	for b.Loop() {
		hash++
		RendezvousUnweighted(murmurFinalizer(hash), nodes, func(int) bool { return false })
	}
}
