package balance

import "math/rand/v2"

// sampler draws from the candidates of some pools, in one zone or all, without visiting all of
// them. It implements drawer.
//
// It uses rejection sampling (von Neumann, "Various techniques used in connection with random
// digits", 1951): a uniformly drawn candidate is accepted with a probability of its weight over
// the maximum weight, so that the distribution is the same as that of a scan.
type sampler[T any] struct {
	request *Request
	sources []Source[T]
	lists   [2]*list[T]
	count   int
	// drawn is a ring of the candidates drawn last.
	drawn [2 + openFlowDraws]*Entry[T]
	next  int
	// hasFailed is set once sampling found no eligible candidate.
	hasFailed bool
	// exact, if set, receives all eligible candidates once sampling has failed; isExact is set
	// from then on.
	exact   *candidateSet
	isExact bool
}

// reset prepares for draws from all candidates of some pools.
func (s *sampler[T]) reset(request *Request, sources []Source[T]) {
	*s = sampler[T]{request: request, sources: sources}
	for index := range sources {
		s.lists[index] = &sources[index].Pool.all
		s.count += sources[index].Pool.Len()
	}
}

// resetZone prepares for draws from the request's zone. exact is reused memory.
func (s *sampler[T]) resetZone(request *Request, sources []Source[T], exact *candidateSet) {
	*s = sampler[T]{request: request, sources: sources, exact: exact}
	for index := range sources {
		if s.lists[index] = sources[index].Pool.zones[request.Zone]; s.lists[index] != nil {
			s.count += len(s.lists[index].entries)
		}
	}
	if s.count > 0 && s.isKnownEmpty() {
		s.count = 0
	}
}

// isKnownEmpty reports whether all lists are known to have no eligible entry.
func (s *sampler[T]) isKnownEmpty() bool {
	hasLimited := false
	for _, list := range s.lists {
		if list == nil {
			continue
		}
		if !s.request.Now.Before(list.emptyUntil) {
			return false
		}
		hasLimited = hasLimited || list.hasLimited
	}
	s.request.atLimit = s.request.atLimit || hasLimited
	return true
}

// markEmpty records that a scan of all lists found no eligible entry.
func (s *sampler[T]) markEmpty() {
	for _, list := range s.lists {
		if list != nil {
			list.emptyUntil = s.request.Now.Add(emptyTTL)
			list.hasLimited = s.request.atLimit
		}
	}
}

// draw implements drawer.
func (s *sampler[T]) draw(random *rand.Rand, skip *Candidate) *Candidate {
	if s.count == 0 {
		return nil
	}
	if !s.isExact {
		if candidate := s.sample(random, skip); candidate != nil {
			return candidate
		}
		s.hasFailed = true
		if s.exact == nil {
			return nil
		}
		s.fillExact()
	}
	return s.exact.draw(random, skip)
}

// sample samples an eligible candidate; nil after maxTries failures.
func (s *sampler[T]) sample(random *rand.Rand, skip *Candidate) *Candidate {
	weights := &s.sources[0].Pool.weights
	for range maxTries {
		entry, source := s.drawUniform(random)
		candidate := &entry.Candidate
		if candidate == skip || !source.allows(entry) {
			continue
		}
		if !s.request.isEligible(candidate) {
			continue
		}
		weight := s.request.effectiveWeight(candidate)
		if random.Float64()*weights.include(weight) < weight {
			s.drawn[s.next%len(s.drawn)] = entry
			s.next++
			return candidate
		}
	}
	return nil
}

// fillExact fills exact with all eligible candidates.
func (s *sampler[T]) fillExact() {
	s.isExact = true
	s.exact.clear()
	for index, list := range s.lists {
		if list == nil {
			continue
		}
		for _, entry := range list.entries {
			if s.sources[index].allows(entry) && s.request.isEligible(&entry.Candidate) {
				s.exact.add(&entry.Candidate, s.request.effectiveWeight(&entry.Candidate))
			}
		}
	}
	if s.exact.isEmpty() {
		s.markEmpty()
	}
}

// drawUniform draws an entry uniformly.
func (s *sampler[T]) drawUniform(random *rand.Rand) (*Entry[T], *Source[T]) {
	position := random.IntN(s.count)
	for index, list := range s.lists {
		if list == nil {
			continue
		}
		if position < len(list.entries) {
			return list.entries[position], &s.sources[index]
		}
		position -= len(list.entries)
	}
	panic("balance: lists hold fewer entries than counted")
}

// drawnEntry returns the entry of a candidate, nil if it was not drawn recently.
func (s *sampler[T]) drawnEntry(candidate *Candidate) *Entry[T] {
	for _, entry := range s.drawn {
		if entry != nil && &entry.Candidate == candidate {
			return entry
		}
	}
	return nil
}

// boundRenewalDraws is the number of draws after which the maximum weight is renewed. An outdated, much
// higher maximum would make most draws fail.
const boundRenewalDraws = 512

// weightBound tracks the maximum weight among recent draws.
type weightBound struct {
	bound, latest float64
	draws         int
}

// include includes a weight in the bound and returns the bound.
func (b *weightBound) include(weight float64) float64 {
	b.bound, b.latest = max(b.bound, weight), max(b.latest, weight)
	b.draws++
	if b.draws >= boundRenewalDraws {
		b.bound, b.latest, b.draws = b.latest, 0, 0
	}
	return b.bound
}

// isEligible reports whether a candidate may take the flow, ejections respected.
func (r *Request) isEligible(candidate *Candidate) bool {
	if candidate.Signal == r.Excluded || !r.isAvailable(candidate) || candidate.Signal.IsEjected(r.Now) {
		return false
	}
	if r.isAtLimit(candidate) || r.isAtSlowStartShare(candidate) {
		r.atLimit = true
		return false
	}
	return true
}
