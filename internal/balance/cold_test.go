package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pickFor picks every 10 ms for the given time and returns when the first candidate was picked.
func pickFor(span time.Duration, among []Candidate) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	for after := time.Duration(0); after < span; after += 10 * time.Millisecond {
		request := requestAt(testNow.Add(after))
		index := Pick(&request, among, random)
		if index < 0 {
			continue
		}
		among[index].Signal.NotePick(request.Now)
		if index == 0 {
			times = append(times, after)
		}
	}
	return times
}

func coldCandidates(warmAfter time.Duration) []Candidate {
	among := candidates(2)
	among[0].IsColdBounded, among[0].WarmAt = true, testNow.Add(warmAfter)
	return among
}

func TestAColdTargetGetsNoMoreThanThisDaemonsShareInAnySecond(t *testing.T) {
	const share = 3
	among := coldCandidates(time.Minute)
	among[0].Signal.SetColdShare(share)
	times := pickFor(20*time.Second, among)
	assert.Assert(t, len(times) > 20, "only %d flows", len(times))
	for index := share; index < len(times); index++ {
		assert.Assert(t, times[index]-times[index-share] >= time.Second, "%v", times[index-share:index+1])
	}
}

func TestUntilItsShareIsSaidAColdTargetGetsNothing(t *testing.T) {
	assert.Equal(t, len(pickFor(5*time.Second, coldCandidates(time.Minute))), 0)
	none := coldCandidates(time.Minute)
	none[0].Signal.SetColdShare(0)
	assert.Equal(t, len(pickFor(5*time.Second, none)), 0)
}

func TestAWarmTargetIsNotBounded(t *testing.T) {
	assert.Assert(t, len(pickFor(5*time.Second, coldCandidates(time.Second))) > 100)
}

// If all targets are at their limit, the client must be queued, not rejected.
func TestWhereAllAreAtTheirShareSomebodyMayBeSoon(t *testing.T) {
	among := coldCandidates(time.Minute)[:1]
	request := requestAt(testNow)
	assert.Equal(t, Pick(&request, among, rand.New(rand.NewPCG(1, 2))), -1)
	assert.Assert(t, request.AtLimit())
}
