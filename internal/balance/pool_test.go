package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixed returns candidates in three zones, some of them in slow start, dead, ejected, busy, slow or
// with open flows.
func mixed(count int) []Candidate {
	random := rand.New(rand.NewPCG(7, uint64(count)))
	among := make([]Candidate, count)
	for index := range among {
		among[index] = Candidate{Signal: &Signal{}, Weight: 2, Slots: 2, Zone: fmt.Sprint("zone", index%3)}
		signal := among[index].Signal
		switch random.IntN(8) {
		case 0:
			among[index].WarmAt = testNow.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
		case 1:
			signal.SetDead(testNow.Add(time.Minute), testNow.Add(2*time.Minute))
		case 2:
			signal.Eject(testNow.Add(time.Minute), testNow.Add(2*time.Minute))
		case 3:
			signal.NoteWaiting(2)
		case 4:
			signal.SetSpeed(testNow, 0.5)
		case 5:
			signal.SetOpen(random.IntN(5))
		}
	}
	return among
}

func pooled(among []Candidate) *Pool[int] {
	pool := &Pool[int]{}
	for index := range among {
		pool.Add(among[index], index)
	}
	return pool
}

func mixedRequest() Request {
	return Request{Now: testNow, Zone: "zone1", LeaseHeld: true, PrefersZone: true, KnowsOpen: true, Daemons: 1000}
}

// Sampling must give the same shares as visiting all candidates, by a chi-square test at 5 standard
// deviations.
func TestAPoolIsPickedFromAsIfAllWereLookedAt(t *testing.T) {
	const flows = 60_000
	for name, prefersZone := range map[string]bool{"all zones": false, "preferred zone": true} {
		t.Run(name, func(t *testing.T) {
			among := mixed(120)
			pool, picker := pooled(among), &Picker[int]{}
			random := rand.New(rand.NewPCG(1, 2))
			drawn, exact := make([]float64, len(among)), make([]float64, len(among))
			for range flows {
				request := mixedRequest()
				request.PrefersZone = prefersZone
				drawn[picker.Pick(&request, []Source[int]{{Pool: pool}}, random).Value]++
				request = mixedRequest()
				request.PrefersZone = prefersZone
				exact[Pick(&request, among, random)]++
			}
			var sum, classes float64
			for index := range among {
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
func TestWhereFewAreLeftThoseAreFound(t *testing.T) {
	among := candidates(500)
	for index := range among {
		if index != 123 {
			among[index].Signal.SetDead(testNow.Add(time.Minute), testNow.Add(time.Minute))
		}
	}
	pool, picker, random := pooled(among), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
	pick := func() *Entry[int] {
		request := mixedRequest()
		return picker.Pick(&request, []Source[int]{{Pool: pool}}, random)
	}
	for range 100 {
		assert.Equal(t, pick().Value, 123)
	}
	working, _ := pool.Slots(testNow)
	assert.Equal(t, working, 0, "candidates without slots")
	among[123].Signal.SetDead(testNow.Add(time.Minute), testNow.Add(time.Minute))
	assert.Assert(t, pick() == nil)
	t.Run("a new candidate is found at once", func(t *testing.T) {
		entry := pool.Add(Candidate{Signal: &Signal{}, Weight: 1}, 500)
		assert.Equal(t, pick(), entry)
	})
}

// Large pools must limit the share of ejected candidates like small ones.
func TestWhereMostArePassedOverTheEvidenceIsDoubted(t *testing.T) {
	among := candidates(500)
	for index := range among[:400] {
		among[index].Signal.Eject(testNow.Add(time.Minute), testNow.Add(time.Minute))
	}
	pool, picker, random := pooled(among), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
	passedOver := 0
	for range 4000 {
		request := mixedRequest()
		if picker.Pick(&request, []Source[int]{{Pool: pool}}, random).Value < 400 {
			passedOver++
		}
	}
	// At most 250 may be ejected; 150 ejected ones and 100 others get flows.
	assert.Assert(t, passedOver > 4000*5/10 && passedOver < 4000*7/10, "%d of 4000", passedOver)
}

// Random additions and removals must keep lists, zones and the sum of slots consistent.
func TestAPoolHoldsWhatWasAddedAndNotRemoved(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	pool, held, slots := &Pool[int]{}, map[int]*Entry[int]{}, 0
	for number := range 5000 {
		if len(held) > 0 && random.IntN(5) < 2 {
			for value, entry := range held {
				pool.Remove(entry)
				slots -= int(entry.Slots)
				delete(held, value)
				break
			}
			continue
		}
		candidate := Candidate{Signal: &Signal{}, Slots: uint32(number % 4), Zone: fmt.Sprint(number % 5)}
		held[number] = pool.Add(candidate, number)
		slots += int(candidate.Slots)
	}
	assert.Equal(t, pool.Len(), len(held))
	inZones := 0
	for zone, list := range pool.zones {
		for place, entry := range list.entries {
			assert.Assert(t, entry.Zone == zone && entry.zonePlace == place && held[entry.Value] == entry)
			inZones++
		}
	}
	assert.Equal(t, inZones, len(held))
	working, _ := pool.Slots(testNow)
	assert.Equal(t, working, slots)
}

// Removed candidates must be released even if they are being watched.
func TestRemovedCandidatesAreNotKept(t *testing.T) {
	pool := &Pool[int]{}
	for number := range 100 {
		signal := &Signal{}
		signal.SetDead(testNow.Add(time.Hour), testNow.Add(time.Hour))
		pool.Remove(pool.Add(Candidate{Signal: signal, Slots: 2}, number))
	}
	working, passedOver := pool.Slots(testNow)
	assert.Assert(t, working == 0 && passedOver == 0)
	assert.Equal(t, len(pool.watched), 0)
}

// BenchmarkPoolPick picks among candidates of which an eighth each is in slow start, dead, ejected,
// at its limit, slow, or has open flows.
func BenchmarkPoolPick(b *testing.B) {
	for _, count := range []int{100, 1000, 8000, 20_000} {
		b.Run(fmt.Sprint(count, " targets"), func(b *testing.B) {
			pool, picker, random := pooled(mixed(count)), &Picker[int]{}, rand.New(rand.NewPCG(1, 2))
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
