package token

import (
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/followed"
)

// lapsedCache holds a service's targets with those whose entries may have expired while the
// store was away. After an outage that may be all of them, and every opening packet needs
// the list.
type lapsedCache struct {
	service *Service
	lapse   followed.Lapse
	// until is when one of the targets is no longer to be had.
	until      time.Time
	targets    []*Target
	candidates []balance.Candidate
}

// withLapsed returns the targets of a service that may get new flows and, after them, those
// whose entries may have expired while the store was away.
func (o *Opener) withLapsed(now time.Time, service *Service) ([]*Target, []balance.Candidate) {
	if !o.lapse.Holds(now) {
		return service.Targets, service.Candidates
	}
	cache := &o.lapsed
	if cache.service != service || cache.lapse != o.lapse || !now.Before(cache.until) {
		cache.fill(now, service, o.lapse, o.leavingFor)
	}
	return cache.targets, cache.candidates
}

func (c *lapsedCache) fill(now time.Time, service *Service, lapse followed.Lapse, leavingFor time.Duration) {
	c.service, c.lapse, c.until = service, lapse, lapse.Until
	c.targets = append(c.targets[:0], service.Targets...)
	c.candidates = append(c.candidates[:0], service.Candidates...)
	for index, target := range service.Leaving {
		if !target.IsLapsed || !lapse.Covers(now, target.LearnedAt) || now.Sub(target.LearnedAt) >= leavingFor {
			continue
		}
		c.targets = append(c.targets, target)
		c.candidates = append(c.candidates, service.LeavingCandidates[index])
		if ends := target.LearnedAt.Add(leavingFor); ends.Before(c.until) {
			c.until = ends
		}
	}
}
