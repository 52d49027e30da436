package token

import (
	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/overload"
)

// Service is a pool of targets that can receive new flows.
type Service struct {
	Name string
	// Load tracks and limits the service's work through this daemon.
	Load *overload.Controller
	// maxFlows and slowStartRate are the declared limits.
	maxFlows      uint32
	slowStartRate float64
	// eligible holds the targets that accept new flows. leaving holds targets that are draining or
	// gone: they still serve for a grace period and are used when no other target is left.
	eligible, leaving balance.Pool[*Target]
	// evacuated is the number of targets in evacuated zones.
	evacuated int
}

func (s *Service) add(target *Target) {
	candidate := balance.Candidate{
		Signal: target.Signal, Weight: max(1, target.Slots), Cap: s.maxFlows, Zone: target.Zone,
		Slots: target.Slots, WarmAt: target.WarmAt, IsSlowStartLimited: target.SlowStartRate > 0,
	}
	switch {
	case target.IsEligible:
		target.entry = s.eligible.Add(candidate, target)
	case target.IsEvacuated:
		s.evacuated++
	default:
		target.entry = s.leaving.Add(candidate, target)
	}
}

func (s *Service) remove(target *Target) {
	switch {
	case target.IsEligible:
		s.eligible.Remove(target.entry)
	case target.IsEvacuated:
		s.evacuated--
	default:
		s.leaving.Remove(target.entry)
	}
	target.entry = nil
}

// trackUnavailable notifies the target's pool that the target was declared dead or ejected.
func (s *Service) trackUnavailable(target *Target) {
	switch {
	case target.entry == nil:
	case target.IsEligible:
		s.eligible.Watch(target.entry)
	default:
		s.leaving.Watch(target.entry)
	}
}
