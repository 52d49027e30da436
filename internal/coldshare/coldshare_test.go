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
	bound        = 20.0 // flows per second to one target
	coldTargets  = 20
	modelSeconds = 10
)

func daemons(count int) []netip.AddrPort {
	var made []netip.AddrPort
	for index := range count {
		made = append(made, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 8166))
	}
	return made
}

func TestSharesAddUpToThePartThatIsGivenOut(t *testing.T) {
	for _, count := range []int{1, 2, 8, 100, 350} {
		for target := range uint64(20) {
			sum := 0
			for _, daemon := range daemons(count) {
				sum += Of(target, bound, daemon, daemons(count))
			}
			assert.Assert(t, float64(sum) <= bound*usedPart && sum > 0, "%d of %v among %d daemons", sum, bound, count)
		}
	}
}

func TestABoundBelowTwoLeavesNothing(t *testing.T) {
	assert.Equal(t, Of(1, 1.5, daemons(3)[0], daemons(3)), 0)
}

// way computes a daemon's share of a target's limit.
type way func(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int

func evenly(_ uint64, _ netip.AddrPort, known []netip.AddrPort) int {
	return int(math.Ceil(bound / float64(len(known))))
}

func oneHolder(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int {
	if !rendezvous.IsAmongFirst(target, daemon, known, 1) {
		return 0
	}
	return int(bound * usedPart)
}

func ours(target uint64, daemon netip.AddrPort, known []netip.AddrPort) int {
	return Of(target, bound, daemon, known)
}

// play simulates an uneven load on daemons that offer each flow to targets in slow start, starting at
// a random one. One in ten daemons misses a fifth of the members. It returns the number of seconds in
// which a target exceeded its limit, over all targets, and the used fraction of the limits.
func play(count int, share way, seed uint64) (broken int, used float64) {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	all := daemons(count)
	shares := make([][]int, count)
	demand := make([]float64, count)
	for index, daemon := range all {
		known := slices.Clone(all)
		if random.IntN(10) == 0 {
			known = slices.DeleteFunc(known, func(other netip.AddrPort) bool { return other != daemon && random.IntN(5) == 0 })
		}
		for target := range uint64(coldTargets) {
			shares[index] = append(shares[index], share(target, daemon, known))
		}
		demand[index] = 16 * math.Exp(random.NormFloat64()) // new flows per second
	}
	taken := 0
	for range modelSeconds {
		got := make([]int, coldTargets)
		for index := range all {
			left := slices.Clone(shares[index])
			for flows := demand[index] * (0.5 + random.Float64()); flows > 0; flows-- {
				target := random.IntN(coldTargets)
				for step := range coldTargets { // the next target with a share left
					if place := (target + step) % coldTargets; left[place] > 0 {
						left[place]--
						got[place]++
						break
					}
				}
			}
		}
		for _, flows := range got {
			taken += flows
			if float64(flows) > bound {
				broken++
			}
		}
	}
	return broken, float64(taken) / (bound * coldTargets * modelSeconds)
}

// Compares equal shares, a single holder and the few holders that Of chooses; with the latter no
// target may exceed its limit.
func TestWaysToKeepABoundTogether(t *testing.T) {
	for _, count := range []int{8, 100, 350, 1400} {
		evenBroken, evenUsed := play(count, evenly, 1)
		oneBroken, oneUsed := play(count, oneHolder, 1)
		broken, used := play(count, ours, 1)
		t.Logf("%d daemons: equal shares exceed in %d seconds, use %.0f %%; one holder %d, %.0f %%; few holders %d, %.0f %%",
			count, evenBroken, 100*evenUsed, oneBroken, 100*oneUsed, broken, 100*used)
		assert.Equal(t, broken, 0)
		if count > bound {
			assert.Assert(t, evenBroken > 0, "the limit is never exceeded, so the simulation is too weak for this test")
		}
	}
}
