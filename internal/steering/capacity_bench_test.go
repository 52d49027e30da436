package steering

import (
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/ownership"
)

// sizes are fractions and the full size of the target deployment.
var sizes = []struct{ services, targets, daemons int }{{44, 150, 14}, {440, 1500, 140}, {4400, 15000, 1400}}

func stateOfSize(services, targets int) *catalog.State {
	state := &catalog.State{Revision: 1, LastService: catalog.ServiceNumber(services), LastTarget: catalog.TargetNumber(targets)}
	for number := range services {
		state.Services = append(state.Services, catalog.Service{
			Number: catalog.ServiceNumber(number + 1), Name: fmt.Sprint("service-", number), Protocol: catalog.ProtocolQUIC,
			Priority: catalog.PriorityStandard, Limits: catalog.Limits{ConnectionsPerTarget: 2000},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 443),
		})
	}
	for number := range targets {
		state.Targets = append(state.Targets, catalog.Target{
			Number: catalog.TargetNumber(number + 1), Service: catalog.ServiceNumber(number%services + 1),
			Name: fmt.Sprint("target-", number), Zone: "salt-a", Weight: 100, State: catalog.TargetActive, AddedAt: 1_800_000_000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 443),
		})
	}
	return state
}

func membersOfSize(daemons int) []membership.Member {
	var live []membership.Member
	for number := range daemons {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
		live = append(live, membership.Member{Identity: identity.Identity{Address: address, Start: 1}, DataAddress: address, Status: membership.Alive})
	}
	return live
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBuild measures the cost of a change of configuration or membership, and the memory of a
// snapshot with its signals.
func BenchmarkBuild(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-targets-%d-daemons", size.targets, size.daemons), func(b *testing.B) {
			state, live := stateOfSize(size.services, size.targets), membersOfSize(size.daemons)
			inputs := &Inputs{
				State: state, Live: live, Known: live, Self: live[0], Keyring: testKeyring(b),
				LeaseEnds: &atomic.Int64{}, Signals: NewSignals(), Peers: ownership.NewPeers(),
			}
			before := heapInUse()
			snapshot := Build(inputs)
			memory := heapInUse() - before
			for b.Loop() {
				snapshot = Build(inputs)
			}
			b.ReportMetric(float64(memory)/1024, "KiB")
			runtime.KeepAlive(snapshot)
		})
	}
}

// BenchmarkCatalog measures the cost of a catalog change and the encoded size of a catalog.
func BenchmarkCatalog(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-targets", size.targets), func(b *testing.B) {
			state := stateOfSize(size.services, size.targets)
			encoder, err := zstd.NewWriter(nil)
			assert.NilError(b, err)
			encoded := state.Encode()
			compressed := encoder.EncodeAll(encoded, nil)
			number := 0
			for b.Loop() {
				number++
				_, outcome := state.Apply(&catalog.Change{
					RequestIdentifier: fmt.Sprint(number), Operation: catalog.SetTargetWeight, Time: 1_800_000_000,
					Service: catalog.Service{Name: "service-1"}, Target: catalog.Target{Name: "target-1", Weight: 7},
				})
				if outcome.Refusal != nil {
					b.Fatal(outcome.Refusal)
				}
			}
			b.ReportMetric(float64(len(encoded))/1024, "KiB-encoded")
			b.ReportMetric(float64(len(compressed))/1024, "KiB-zstd")
		})
	}
}

// BenchmarkPins measures the memory of an owner's pins.
func BenchmarkPins(b *testing.B) {
	for _, flows := range []int{30_000, 100_000, 300_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				table := ownership.NewFlowTable(2*flows, time.Hour)
				now := time.Unix(1000, 0)
				for flow := range flows {
					caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(flow >> 16), byte(flow >> 8), byte(flow)}), 4000)
					table.Update(now, ownership.KeyOfCaller(1, caller), func(ownership.Pin, bool) (ownership.Pin, bool) {
						return ownership.Pin{Target: 1, Created: now}, true
					})
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(flows), "B/flow")
				runtime.KeepAlive(table)
			}
		})
	}
}

// BenchmarkWatches measures the search for the targets that a daemon polls for reports.
func BenchmarkWatches(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-targets-%d-daemons", size.targets, size.daemons), func(b *testing.B) {
			live := membersOfSize(size.daemons)
			snapshot := Build(&Inputs{
				State: stateOfSize(size.services, size.targets), Live: live, Known: live, Self: live[0],
				Keyring: testKeyring(b), LeaseEnds: &atomic.Int64{}, Signals: NewSignals(), Peers: ownership.NewPeers(),
			})
			watched := 0
			for b.Loop() {
				watched = 0
				for _, target := range snapshot.Targets() {
					if snapshot.PollsTarget(target, 3) {
						watched++
					}
				}
			}
			b.ReportMetric(float64(watched), "watched")
		})
	}
}
