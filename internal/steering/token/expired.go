package token

import "github.com/passtray/passtray/internal/balance"

// mayHaveExpired reports whether a leaving target may still be running because its entry may have
// expired while the store was unavailable. After an outage that can apply to all targets.
func (o *Opener) mayHaveExpired(target *Target) bool {
	return target.IsExpired() && o.expiryWindow.Covers(o.now, target.Leaving.LearnedAt) && o.isWithinGrace(target)
}

// isWithinGrace reports whether a leaving target probably still serves flows.
func (o *Opener) isWithinGrace(target *Target) bool {
	return target.Leaving != nil && o.now.Sub(target.Leaving.LearnedAt) < o.leavingGrace
}

// mayUseLeaving reports whether a leaving target may get new flows if no other target is left.
func (o *Opener) mayUseLeaving(target *Target) bool {
	return o.isWithinGrace(target) && !o.isPastLeavingBound(target)
}

// isPastLeavingBound reports whether a target may have begun to leave so long ago that it must not
// get new flows any more, even though that was learned late.
func (o *Opener) isPastLeavingBound(target *Target) bool {
	leaving := target.Leaving
	if leaving == nil || leaving.NotBefore.IsZero() || o.leavingBound == 0 {
		return false
	}
	return o.now.Sub(leaving.NotBefore) >= o.leavingBound
}

// isClosed reports whether a target must not get copies of first packets that were sent to it.
func (o *Opener) isClosed(target *Target) bool {
	return o.isPastLeavingBound(target) && !o.mayHaveExpired(target)
}

// eligible returns the targets of a service that accept new flows, including those whose entries
// may have expired during a store outage. The slice is valid until the next call of eligible or
// leaving.
func (o *Opener) eligible(service *Service) []balance.Source[*Target] {
	o.sources[0] = balance.Source[*Target]{Pool: &service.eligible}
	if !o.expiryWindow.IsOpen(o.now) {
		return o.sources[:1]
	}
	o.sources[1] = balance.Source[*Target]{Pool: &service.leaving, Allows: o.allowsExpired}
	return o.sources[:2]
}

// leaving returns the targets of a service that are used for new flows if no other is left.
func (o *Opener) leaving(service *Service) []balance.Source[*Target] {
	o.sources[0] = balance.Source[*Target]{Pool: &service.leaving, Allows: o.allowsLeaving}
	return o.sources[:1]
}
