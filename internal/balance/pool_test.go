package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixedCandidates returns candidates in three zones, some of them in slow start, dead, ejected, busy, slow or
// with open flows.
func mixedCandidates(count int) []Candidate {
	random := rand.New(rand.NewPCG(7, uint64(count)))
	targets := make([]Candidate, count)
	for index := range targets {
		targets[index] = Candidate{Signal: &Signal{}, Weight: 2, Slots: 2, Zone: fmt.Sprint("zone", index%3)}
		signal := targets[index].Signal
		switch random.IntN(8) {
		case 0:
			targets[index].WarmAt = testNow.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
		case 1:
			signal.SetDead(testNow.Add(time.Minute), testNow.Add(2*time.Minute))
		case 2:
			signal.Eject(testNow.Add(time.Minute), testNow.Add(2*time.Minute))
		case 3:
			signal.AddPending(2)
		case 4:
			signal.SetSpeed(testNow, 0.5)
		case 5:
			signal.SetOpenFlows(random.IntN(5))
		}
	}
	return targets
}

func newPool(targets []Candidate) *Pool[int] {
	pool := &Pool[int]{}
	for index := range targets {
		pool.Add(targets[index], index)
	}
	return pool
}

func mixedRequest() Request {
	return Request{Now: testNow, Zone: "zone1", LeaseHeld: true, PrefersZone: true, KnowsOpenFlows: true, Daemons: 1000}
}

// Sampling must give the same shares as visiting all candidates, by a chi-square test at 5 standard
// deviations.
func TestPoolPickMatchesScan(t *testing.T) {
	const flows = 60_000
	for name, prefersZone := range map[string]bool{"all zones": false, "preferred zone": true} {
		t.Run(name, func(t *testing.T) {
			targets := mixedCandidates(120)
			pool, picker := newPool(targets), &Picker[int]{}
			random := rand.New(rand.NewPCG(1, 2))
			drawn, exact := make([]float64, len(targets)), make([]float64, len(targets))
			for range flows {
				request := mixedRequest()
				request.PrefersZone = prefersZone
				drawn[picker.Pick(&request, []Source[int]{{Pool: pool}}, random).Value]++
				request = mixedRequest()
				request.PrefersZone = prefersZone
				exact[Pick(&request, targets, random)]++
			}
			var sum, classes float64
			for index := range targets {
				if total := drawn[index] + exact[index]; total > 0 {
					difference := drawn[index] - exact[index]
					sum += difference * difference / total
					classes++
				}
			}
			assert.Assert(t, classes > 30)
			assert.Assert(t, sum < classes+5*math.Sqrt(2*classes), "chi-square %.0f of %.0f classes", sum, classes)
		})
	}
}

// If few candidates are eligible they must be found, and nil returned if there are none.
func TestPickFindsFewEligible(t *testing.T) {
	targets := candidates(500)
	for index := range targets {
		if index != 123 {
			targets[index].Signal.SetDead(testNow.Add(time.Minute), testNow.Add(time.Minute))
		}
	}
	pool, picker, random := newPool(targets), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
	pick := func() *Entry[int] {
		request := mixedRequest()
		return picker.Pick(&request, []Source[int]{{Pool: pool}}, random)
	}
	for range 100 {
		assert.Equal(t, pick().Value, 123)
	}
	working, _ := pool.Slots(testNow)
	assert.Equal(t, working, 0, "candidates without slots")
	targets[123].Signal.SetDead(testNow.Add(time.Minute), testNow.Add(time.Minute))
	assert.Assert(t, pick() == nil)
	t.Run("a new candidate is found at once", func(t *testing.T) {
		entry := pool.Add(Candidate{Signal: &Signal{}, Weight: 1}, 500)
		assert.Equal(t, pick(), entry)
	})
}

// Large pools must limit the share of ejected candidates like small ones.
func TestPoolLimitsEjectedShare(t *testing.T) {
	targets := candidates(500)
	for index := range targets[:400] {
		targets[index].Signal.Eject(testNow.Add(time.Minute), testNow.Add(time.Minute))
	}
	pool, picker, random := newPool(targets), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
	ejected := 0
	for range 4000 {
		request := mixedRequest()
		if picker.Pick(&request, []Source[int]{{Pool: pool}}, random).Value < 400 {
			ejected++
		}
	}
	// At most 250 may be ejected; 150 ejected ones and 100 others get flows.
	assert.Assert(t, ejected > 4000*5/10 && ejected < 4000*7/10, "%d of 4000", ejected)
}

// Random additions and removals must keep lists, zones and the sum of slots consistent.
func TestPoolAddAndRemove(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	pool, kept, slots := &Pool[int]{}, map[int]*Entry[int]{}, 0
	for number := range 5000 {
		if len(kept) > 0 && random.IntN(5) < 2 {
			for value, entry := range kept {
				pool.Remove(entry)
				slots -= int(entry.Slots)
				delete(kept, value)
				break
			}
			continue
		}
		candidate := Candidate{Signal: &Signal{}, Slots: uint32(number % 4), Zone: fmt.Sprint(number % 5)}
		kept[number] = pool.Add(candidate, number)
		slots += int(candidate.Slots)
	}
	assert.Equal(t, pool.Len(), len(kept))
	inZones := 0
	for zone, list := range pool.zones {
		for index, entry := range list.entries {
			assert.Assert(t, entry.Zone == zone && entry.zoneIndex == index && kept[entry.Value] == entry)
			inZones++
		}
	}
	assert.Equal(t, inZones, len(kept))
	working, _ := pool.Slots(testNow)
	assert.Equal(t, working, slots)
}

// Removed candidates must be released even if they are being watched.
func TestRemovedCandidatesAreReleased(t *testing.T) {
	pool := &Pool[int]{}
	for number := range 100 {
		signal := &Signal{}
		signal.SetDead(testNow.Add(time.Hour), testNow.Add(time.Hour))
		pool.Remove(pool.Add(Candidate{Signal: signal, Slots: 2}, number))
	}
	working, ejected := pool.Slots(testNow)
	assert.Assert(t, working == 0 && ejected == 0)
	assert.Equal(t, len(pool.watched), 0)
}

// BenchmarkPoolPick picks among candidates of which an eighth each is in slow start, dead, ejected,
// at its limit, slow, or has open flows.
func BenchmarkPoolPick(b *testing.B) {
	for _, count := range []int{100, 1000, 8000, 20_000} {
		b.Run(fmt.Sprint(count, " targets"), func(b *testing.B) {
			pool, picker, random := newPool(mixedCandidates(count)), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
			sources := []Source[int]{{Pool: pool}}
			request := new(mixedRequest())
			b.ReportAllocs()
			for b.Loop() {
				*request = mixedRequest()
				if picker.Pick(request, sources, random) == nil {
					b.Fatal("no candidate picked")
				}
			}
		})
	}
}
