package storenode

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

type deploymentSize struct{ targets, members, routes int }

func (s deploymentSize) String() string {
	return fmt.Sprintf("targets=%d,members=%d,routes=%d", s.targets, s.members, s.routes)
}

func addressOf(block byte, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, block, byte(index >> 8), byte(index)}), 8080)
}

// storeEntries returns the entries of the store.
func (s deploymentSize) storeEntries() []storeview.Entry {
	configuration := &storeview.Configuration{Version: 1, Services: []storeview.Service{{Name: "service-a", MaxFlows: 2000}, {Name: "service-b", MaxFlows: 2000}}}
	for index := range s.routes {
		configuration.Routes = append(configuration.Routes, storeview.Route{
			Name: fmt.Sprintf("r-%07d", index), Address: addressOf(200, index), Timeout: 4 * time.Second, Objective: 600 * time.Millisecond,
			Backends: []storeview.Backend{{Service: "service-a", Weight: 1000}},
		})
	}
	entries := []storeview.Entry{{Key: "config", Revision: 1, Configuration: configuration}}
	for index := range s.targets {
		identifier := uint64(index)<<32 | rand.Uint64()>>32 | 1
		entries = append(entries, storeview.Entry{
			Key: fmt.Sprintf("target-%010x", identifier), Revision: uint64(index + 2),
			Target: &storeview.Target{Identifier: identifier, Service: "service-a", Address: addressOf(100, index), Zone: "zone-a", Slots: 2},
		})
	}
	return entries
}

// daemonState is what a daemon keeps in memory about a deployment.
type daemonState struct {
	fleet   *followed.Fleet
	builder *token.Builder
	table   *token.Table
}

// newState builds the state as in a daemon that received it from a peer.
func (s deploymentSize) newState(tb testing.TB) *daemonState {
	tb.Helper()
	now := time.Unix(1_800_000_000, 0)
	self := membership.Member{Identity: identity.Identity{Address: addressOf(1, 0), Start: identity.NewStart(1, 1)}, Zone: "zone-a"}
	state := &daemonState{
		fleet:   followed.NewFleet(followed.DefaultFleetConfig(), self, []netip.AddrPort{addressOf(1, 1)}, rand.New(rand.NewPCG(1, 2))),
		builder: token.NewBuilder(time.Minute),
	}
	pull := state.fleet.Tick(now).Pulls[0]
	var cache deltaCache
	encoded, err := cache.encode(now, &followed.Delta{Until: uint64(s.targets + 2), Entries: s.storeEntries(), Members: s.otherMembers()})
	assert.NilError(tb, err)
	delta, err := decodeDelta(encoded)
	assert.NilError(tb, err)
	state.fleet.StepDelta(now, pull.Number, delta)
	state.table = state.builder.Build(now, state.fleet.View())
	assert.Equal(tb, state.table.EligibleTargets(), s.targets)
	assert.Equal(tb, len(state.fleet.Live()), s.members)
	return state
}

func (s deploymentSize) otherMembers() []membership.Member {
	var otherMembers []membership.Member
	for index := range s.members - 1 {
		otherMembers = append(otherMembers, membership.Member{
			Identity:    identity.Identity{Address: addressOf(1, index+1), Start: identity.NewStart(1, uint64(index))},
			DataAddress: addressOf(2, index+1), Zone: "zone-a", Status: membership.Alive, Link: 20,
		})
	}
	return otherMembers
}

// heapBytes returns the heap bytes in use for the state of a deployment.
func (s deploymentSize) heapBytes(tb testing.TB) int64 {
	tb.Helper()
	before := heapInUse()
	state := s.newState(tb)
	after := heapInUse()
	runtime.KeepAlive(state)
	return after - before
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// BenchmarkState reports the heap bytes of the state per target, member and route, for a current and a
// larger deployment.
func BenchmarkState(b *testing.B) {
	for _, size := range []deploymentSize{{600, 350, 1_700}, {15_000, 1_400, 4_400}} {
		b.Run(size.String(), func(b *testing.B) {
			var bytes, targets, members, routes float64
			for range b.N {
				total := size.heapBytes(b)
				bytes += float64(total)
				targets += float64(total - deploymentSize{1, size.members, size.routes}.heapBytes(b))
				members += float64(total - deploymentSize{size.targets, 1, size.routes}.heapBytes(b))
				routes += float64(total - deploymentSize{size.targets, size.members, 1}.heapBytes(b))
			}
			n := float64(b.N)
			b.ReportMetric(bytes/n, "B")
			b.ReportMetric(targets/n/float64(size.targets), "B/target")
			b.ReportMetric(members/n/float64(size.members), "B/member")
			b.ReportMetric(routes/n/float64(size.routes), "B/route")
			b.ReportMetric(0, "ns/op")
		})
	}
}
