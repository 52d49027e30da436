package token

import "github.com/passtray/passtray/internal/balance"

// isLapsed reports whether a leaving target may still be running because its entry may have
// expired while the store was unavailable. After an outage that can apply to all targets.
func (o *Opener) isLapsed(target *Target) bool {
	return target.IsLapsed() && o.lapse.Covers(o.now, target.LearnedAt) && o.isLeavingLately(target)
}

// isLeavingLately reports whether a leaving target may still serve flows.
func (o *Opener) isLeavingLately(target *Target) bool {
	return o.now.Sub(target.LearnedAt) < o.leavingFor
}

// open returns the targets of a service that accept new flows, including those whose entries may
// have expired during a store outage. The slice is valid until the next call of open or leaving.
func (o *Opener) open(service *Service) []balance.Source[*Target] {
	o.sources[0] = balance.Source[*Target]{Pool: &service.open}
	if !o.lapse.Holds(o.now) {
		return o.sources[:1]
	}
	o.sources[1] = balance.Source[*Target]{Pool: &service.leaving, Allows: o.allowsLapsed}
	return o.sources[:2]
}

// leaving returns the targets of a service that are used for new flows if no other is left.
func (o *Opener) leaving(service *Service) []balance.Source[*Target] {
	o.sources[0] = balance.Source[*Target]{Pool: &service.leaving, Allows: o.allowsLeaving}
	return o.sources[:1]
}
