package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is a target that new flows may go to.
type Candidate struct {
	Signal *Signal
	// Weight is the operators' share, above 0.
	Weight uint32
	// Cap is the most connections the target may hold.
	Cap uint32
	// Zone is where the target stands.
	Zone string
	// Since is when the target was added, by the operators' clock.
	Since time.Time
}

const (
	// slowStart is how long a new target's share grows from slowStartFloor to
	// whole, so that a cold one is not flooded.
	slowStart      = 10 * time.Second
	slowStartFloor = 0.1
	// maximumEjectedShare bounds how many targets passive evidence may take
	// out: beyond it the evidence more likely speaks against this daemon.
	maximumEjectedShare = 0.5
	// remoteZonePenalty makes a target elsewhere look this much more loaded.
	remoteZonePenalty = 1.05
	// busyPenalty is how much more loaded a target with all slots busy looks. It
	// is moderate: slots turn over fast, and connections stay.
	busyPenalty = 0.3
)

// Request is what a pick depends on besides the candidates.
type Request struct {
	Now  time.Time
	Zone string
	// LeaseHeld says that the configuration is confirmed; without it only
	// targets that say themselves that they accept get new flows.
	LeaseHeld bool
	// Excluded is the index of a candidate that failed this flow already, -1
	// for none.
	Excluded int

	// anyWarm says that some target is past its slow start. Where all are cold,
	// as when a service begins, there is nobody to spare the cold ones for.
	anyWarm bool
}

// Pick returns the index of the chosen candidate, -1 if none may take the flow.
// It takes the better of two weighted random choices (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", 2001), which keeps many daemons
// with the same stale news from running to the same target.
func Pick(request *Request, candidates []Candidate, random *rand.Rand) int {
	eligible := eligibleSet(request, candidates, true)
	if eligible.isEmpty() {
		// Everybody is ejected: the evidence is of no use, so it is set aside.
		eligible = eligibleSet(request, candidates, false)
	}
	if eligible.isEmpty() {
		return -1
	}
	first := eligible.draw(random, -1)
	second := eligible.draw(random, first)
	if second < 0 || request.score(&candidates[first]) <= request.score(&candidates[second]) {
		return first
	}
	return second
}

// set is the eligible candidates with their effective weights.
type set struct {
	indexes []int
	weights []float64
	total   float64
}

func (s *set) isEmpty() bool { return len(s.indexes) == 0 }

func eligibleSet(request *Request, candidates []Candidate, respectEjection bool) set {
	var eligible set
	request.anyWarm = slices.ContainsFunc(candidates, func(candidate Candidate) bool {
		return request.Now.Sub(candidate.Since) >= slowStart
	})
	mayEject := int(maximumEjectedShare * float64(len(candidates)))
	for index := range candidates {
		candidate := &candidates[index]
		if index == request.Excluded || !request.mayTake(candidate) {
			continue
		}
		if respectEjection && candidate.Signal.IsEjected(request.Now) && mayEject > 0 {
			mayEject--
			continue
		}
		weight := request.effectiveWeight(candidate)
		eligible.indexes = append(eligible.indexes, index)
		eligible.weights = append(eligible.weights, weight)
		eligible.total += weight
	}
	return eligible
}

func (r *Request) mayTake(candidate *Candidate) bool {
	if candidate.Weight == 0 || candidate.Signal.SaysDraining() {
		return false
	}
	if !r.LeaseHeld && !candidate.Signal.SaysAccepting(r.Now) {
		return false
	}
	return candidate.Cap == 0 || candidate.Signal.Connections(r.Now) < float64(candidate.Cap)
}

func (r *Request) effectiveWeight(candidate *Candidate) float64 {
	weight := float64(candidate.Weight)
	age := r.Now.Sub(candidate.Since)
	if age >= slowStart || !r.anyWarm {
		return weight
	}
	return weight * max(slowStartFloor, float64(age)/float64(slowStart))
}

// score is lower for a target better able to take a flow: connections per
// weight, raised by busy slots and by standing in another zone.
func (r *Request) score(candidate *Candidate) float64 {
	score := (candidate.Signal.Connections(r.Now) + 1) / r.effectiveWeight(candidate)
	score *= 1 + busyPenalty*candidate.Signal.busyShare(r.Now)
	if candidate.Zone != r.Zone {
		score *= remoteZonePenalty
	}
	return score
}

// draw returns a random index by weight, other than skip, -1 if there is none.
func (s *set) draw(random *rand.Rand, skip int) int {
	total := s.total
	for position, index := range s.indexes {
		if index == skip {
			total -= s.weights[position]
		}
	}
	mark := random.Float64() * total
	chosen := -1
	for position, index := range s.indexes {
		if index == skip {
			continue
		}
		chosen = index
		mark -= s.weights[position]
		if mark < 0 {
			break
		}
	}
	return chosen
}
