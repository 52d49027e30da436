package coldshare

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/rendezvous"
)

const (
	bound            = 20.0 // flows per second to one target
	slowStartTargets = 20
	modelSeconds     = 10
)

func daemons(count int) []netip.AddrPort {
	var list []netip.AddrPort
	for index := range count {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 8166))
	}
	return list
}

func TestSharesAddUpToAllocatedFraction(t *testing.T) {
	for _, count := range []int{1, 2, 8, 100, 350} {
		for target := range uint64(20) {
			sum := 0
			for _, daemon := range daemons(count) {
				sum += Of(target, bound, daemon, daemons(count))
			}
			assert.Assert(t, float64(sum) <= bound*allocatedFraction && sum > 0, "%d of %v among %d daemons", sum, bound, count)
		}
	}
}

func TestBoundBelowTwoGivesNoShares(t *testing.T) {
	assert.Equal(t, Of(1, 1.5, daemons(3)[0], daemons(3)), 0)
}

// allocation computes a daemon's share of a target's limit.
type allocation func(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int

func equalShare(_ uint64, _ netip.AddrPort, known []netip.AddrPort) int {
	return int(math.Ceil(bound / float64(len(known))))
}

func oneHolder(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int {
	if !rendezvous.IsInTop(target, daemon, known, 1) {
		return 0
	}
	return int(bound * allocatedFraction)
}

func fewHolders(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int {
	return Of(target, bound, daemon, known)
}

// simulate runs an uneven load on daemons that offer each flow to targets in slow start, starting at
// a random one. One in ten daemons misses a fifth of the members. It returns the number of seconds in
// which a target exceeded its limit, over all targets, and the used fraction of the limits.
func simulate(count int, share allocation, seed uint64) (exceeded int, used float64) {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	all := daemons(count)
	shares := make([][]int, count)
	demand := make([]float64, count)
	for index, daemon := range all {
		known := slices.Clone(all)
		if random.IntN(10) == 0 {
			known = slices.DeleteFunc(known, func(other netip.AddrPort) bool { return other != daemon && random.IntN(5) == 0 })
		}
		for target := range uint64(slowStartTargets) {
			shares[index] = append(shares[index], share(target, daemon, known))
		}
		demand[index] = 16 * math.Exp(random.NormFloat64()) // new flows per second
	}
	total := 0
	for range modelSeconds {
		received := make([]int, slowStartTargets)
		for index := range all {
			remaining := slices.Clone(shares[index])
			for flows := demand[index] * (0.5 + random.Float64()); flows > 0; flows-- {
				target := random.IntN(slowStartTargets)
				for step := range slowStartTargets { // the next target with a share left
					if place := (target + step) % slowStartTargets; remaining[place] > 0 {
						remaining[place]--
						received[place]++
						break
					}
				}
			}
		}
		for _, flows := range received {
			total += flows
			if float64(flows) > bound {
				exceeded++
			}
		}
	}
	return exceeded, float64(total) / (bound * slowStartTargets * modelSeconds)
}

// Compares equal shares, a single holder and the few holders that Of chooses; with the latter no
// target may exceed its limit.
func TestAllocationsKeepBound(t *testing.T) {
	for _, count := range []int{8, 100, 350, 1400} {
		equalExceeded, equalUsed := simulate(count, equalShare, 1)
		oneExceeded, oneUsed := simulate(count, oneHolder, 1)
		exceeded, used := simulate(count, fewHolders, 1)
		t.Logf("%d daemons: equal shares exceed in %d seconds, use %.0f %%; one holder %d, %.0f %%; few holders %d, %.0f %%",
			count, equalExceeded, 100*equalUsed, oneExceeded, 100*oneUsed, exceeded, 100*used)
		assert.Equal(t, exceeded, 0)
		if count > bound {
			assert.Assert(t, equalExceeded > 0, "the limit is never exceeded, so the simulation is too weak for this test")
		}
	}
}
