package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/encapsulation"
)

var testNow = time.Unix(100_000, 0)

func candidates(count int) []Candidate {
	made := make([]Candidate, count)
	for index := range made {
		made[index] = Candidate{Signal: &Signal{}, Weight: 100, Cap: 2000, Zone: "zone"}
	}
	return made
}

func report(signal *Signal, at time.Time, state encapsulation.TargetState, connections uint32) {
	signal.Observe(at, &encapsulation.Report{State: state, Slots: 2, Connections: connections, MaximumConnections: 2000})
}

// share picks many times without noting the picks and counts them.
func share(t *testing.T, request Request, among []Candidate) []float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	const picks = 20_000
	shares := make([]float64, len(among))
	for range picks {
		index := Pick(&request, among, random)
		assert.Assert(t, index >= 0)
		shares[index] += 1.0 / picks
	}
	return shares
}

func requestAt(now time.Time) Request {
	return Request{Now: now, Zone: "zone", LeaseHeld: true, Excluded: -1}
}

func TestNobodyPicksWhoMayNotTake(t *testing.T) {
	among := candidates(5)
	report(among[0].Signal, testNow, encapsulation.TargetDraining, 0)
	report(among[1].Signal, testNow, encapsulation.TargetAccepting, 2000)
	among[2].Weight = 0
	request := requestAt(testNow)
	request.Excluded = 3
	shares := share(t, request, among)
	assert.Assert(t, shares[4] > 0.999, "%v", shares)
}

func TestWithoutALeaseOnlyAFreshWordCounts(t *testing.T) {
	among := candidates(3)
	report(among[0].Signal, testNow, encapsulation.TargetAccepting, 5)
	report(among[1].Signal, testNow.Add(-time.Minute), encapsulation.TargetAccepting, 0)
	request := requestAt(testNow)
	request.LeaseHeld = false
	shares := share(t, request, among)
	assert.Assert(t, shares[0] > 0.999, "%v", shares)
}

func TestEjectionIsBoundedAndEnds(t *testing.T) {
	among := candidates(4)
	for _, candidate := range among[:3] {
		for range ejectionAfter {
			candidate.Signal.NoteUnanswered(testNow)
		}
	}
	out := 0
	for _, share := range share(t, requestAt(testNow), among) {
		if share == 0 {
			out++
		}
	}
	assert.Equal(t, out, 2, "evidence may take out half of the targets at most")
	for _, share := range share(t, requestAt(testNow.Add(ejectionBase)), among) {
		assert.Assert(t, share > 0, "an ejected target must come back")
	}
}

func TestAColdTargetAmongWarmOnesStartsSlowly(t *testing.T) {
	among := candidates(4)
	among[0].Since = testNow.Add(-time.Second)
	assert.Assert(t, share(t, requestAt(testNow), among)[0] < 0.1)
	for index := range among {
		among[index].Since = testNow.Add(-time.Duration(index) * time.Second)
	}
	for index, share := range share(t, requestAt(testNow), among) {
		assert.Assert(t, share > 0.2 && share < 0.3, "all are cold, so all are alike: %d got %.2f", index, share)
	}
}

func TestWeightsAndConnectionsCount(t *testing.T) {
	among := candidates(3)
	among[0].Weight = 300
	shares := share(t, requestAt(testNow), among)
	assert.Assert(t, shares[0] > 0.6, "%v", shares)
	among = candidates(3)
	report(among[0].Signal, testNow, encapsulation.TargetAccepting, 50)
	report(among[1].Signal, testNow, encapsulation.TargetAccepting, 10)
	report(among[2].Signal, testNow, encapsulation.TargetAccepting, 10)
	shares = share(t, requestAt(testNow), among)
	assert.Assert(t, shares[0] < 0.01, "the target that is drawn with a better one loses: %v", shares)
}
