package token

import (
	"math/rand/v2"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/storeview"
)

// pick selects a target other than excluded: first the service by the route's weights, then the
// target by its load.
func (o *Opener) pick(now time.Time, table *Table, route *Route, excluded *Target) *Target {
	return o.pickForBackend(now, table, route, route.nextBackend(o.random), excluded)
}

// pickForBackend selects a target of the chosen backend or, if that has none, of another backend of
// the route; nil if there is none. Flows don't spill over from a service that is overloaded or whose
// targets are all at their limit.
func (o *Opener) pickForBackend(now time.Time, table *Table, route *Route, chosen *storeview.Backend, excluded *Target) *Target {
	o.atLimit, o.overloaded = false, nil
	if chosen == nil {
		return nil
	}
	service := table.services[chosen.Service]
	if service != nil && excluded == nil && !service.Load.AdmitFlow(now, route.rank) {
		o.overloaded = service
		return nil
	}
	if target := o.pickFromService(now, service, excluded); target != nil || o.atLimit {
		return target
	}
	for index := range route.Backends {
		backend := &route.Backends[index]
		if backend == chosen || backend.Weight == 0 {
			continue
		}
		if target := o.pickFromService(now, table.services[backend.Service], excluded); target != nil {
			return target
		}
	}
	return nil
}

func (o *Opener) pickFromService(now time.Time, service *Service, excluded *Target) *Target {
	if service == nil {
		return nil
	}
	o.now = now
	if target := o.pickFromSources(o.eligible(service), excluded); target != nil || o.atLimit {
		return target
	}
	return o.pickFromSources(o.leaving(service), excluded)
}

// pickFromSources selects a target from the sources, other than excluded.
func (o *Opener) pickFromSources(sources []balance.Source[*Target], excluded *Target) *Target {
	o.request = balance.Request{Now: o.now, Zone: o.zone, LeaseHeld: true, PrefersZone: true, Daemons: o.daemons, KnowsOpenFlows: o.openCountsKnown}
	if excluded != nil {
		o.request.Excluded = excluded.Signal
	}
	if entry := o.picker.Pick(&o.request, sources, o.random); entry != nil {
		return entry.Value
	}
	o.atLimit = o.request.AtLimit()
	return nil
}

// backendFor returns the backend of a previously selected service, or the next backend if that one
// gets no more flows. Selecting again would count the flow twice against the weights, and let a
// flow that waited for one service compete for another.
func (r *Route) backendFor(service string, random *rand.Rand) *storeview.Backend {
	if service != "" {
		for index := range r.Backends {
			if backend := &r.Backends[index]; backend.Service == service && backend.Weight > 0 {
				return backend
			}
		}
	}
	return r.nextBackend(random)
}

// nextBackend selects a backend by smooth weighted round robin: over any run of picks each
// backend's count is within one of its share. Credits start at random values so that daemons don't
// all begin with the same backend.
func (r *Route) nextBackend(random *rand.Rand) *storeview.Backend {
	if len(r.Backends) == 1 && r.Backends[0].Weight > 0 {
		return &r.Backends[0]
	}
	var chosen *storeview.Backend
	var total, maxCredit int64
	for index := range r.Backends {
		backend := &r.Backends[index]
		if backend.Weight == 0 {
			continue
		}
		weight := int64(backend.Weight)
		credit, ok := r.credits[backend.Service]
		if !ok {
			credit = random.Int64N(weight)
		}
		credit += weight
		r.credits[backend.Service] = credit
		total += weight
		if chosen == nil || credit > maxCredit {
			chosen, maxCredit = backend, credit
		}
	}
	if chosen != nil {
		r.credits[chosen.Service] -= total
	}
	return chosen
}
