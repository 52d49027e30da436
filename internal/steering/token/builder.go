package token

import (
	"maps"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/storeview"
)

// Builder builds tables and keeps the state that outlives them: targets with their signals, route
// numbers and removed routes.
type Builder struct {
	routes routeBuilder
	index  *index
	// configuration, services and evacuated are the inputs of the current index, valid if isBuilt.
	isBuilt       bool
	configuration *storeview.Configuration
	services      map[string]*Service
	evacuated     map[string]bool
	// overload configures the controllers of new services. loads holds the controller of each
	// service, undeclared the one shared by services that no configuration declares.
	overload   overload.Config
	loads      map[string]*overload.Controller
	undeclared *overload.Controller
}

// NewBuilder returns a builder that retains removed routes for the given time.
func NewBuilder(retention time.Duration) *Builder {
	return &Builder{
		routes: newRouteBuilder(retention),
		index:  newIndex(0),
		loads:  map[string]*overload.Controller{}, undeclared: overload.New(overload.Config{}),
	}
}

// SetOverload sets the overload limits of services added later. Without it, work is not limited.
func (b *Builder) SetOverload(config overload.Config) { b.overload = config }

// Build builds the table of a view from scratch. Without a configuration the table has targets
// only; it is nil if the view has no targets either. Earlier tables stay valid.
func (b *Builder) Build(now time.Time, view *storeview.View) *Table {
	configuration := view.Configuration()
	if configuration == nil && view.PresentTargetCount() == 0 {
		return nil
	}
	b.isBuilt = true
	targets := view.Targets()
	previous := b.index
	b.index = newIndex(len(targets))
	b.configuration = configuration
	b.evacuated = evacuatedZones(view)
	b.services = b.declaredServices()
	b.index.services = b.services
	for _, entry := range targets {
		b.index.add(b.newTarget(entry, previous.known(entry.Identifier, entry.Key)))
	}
	b.pruneLoads()
	return b.table(now)
}

// Update applies a change to the view incrementally, at a cost that depends on the size of the
// change only. It modifies the targets of the previous table, which must not be used concurrently.
func (b *Builder) Update(now time.Time, view *storeview.View, change *storeview.Change) *Table {
	if !b.canUpdate(view, change) {
		return b.Build(now, view)
	}
	b.configuration = view.Configuration()
	for _, altered := range change.ChangedTargets {
		b.update(view, altered)
	}
	return b.table(now)
}

// canUpdate reports whether the index can be updated to the view target by target, which requires
// unchanged services and evacuated zones.
func (b *Builder) canUpdate(view *storeview.View, change *storeview.Change) bool {
	isConfigured := view.Configuration() != nil
	if !b.isBuilt || isConfigured != (b.configuration != nil) || !maps.Equal(evacuatedZones(view), b.evacuated) {
		return false
	}
	return !change.Configuration || !isConfigured || slices.Equal(b.configuration.Services, view.Configuration().Services)
}

// update replaces one target in the index by its state in the view.
func (b *Builder) update(view *storeview.View, altered *storeview.KnownTarget) {
	previous, current := b.index.known(altered.Identifier, altered.Key), view.Target(altered.Key)
	if previous != nil && (current == nil || current.Identifier != altered.Identifier) {
		b.index.remove(previous)
	}
	if current != nil {
		// The entry may now describe another target, which may be indexed already.
		b.put(current, b.index.known(current.Identifier, current.Key))
	}
}

// put adds a target to the index, in place of its earlier state if that is not nil.
func (b *Builder) put(entry *storeview.KnownTarget, previous *Target) {
	target := b.newTarget(entry, previous)
	if previous == nil {
		b.index.add(target)
	} else {
		b.index.replace(previous, target)
	}
}

// newTarget returns the target of an entry. previous is its earlier state, nil if it was unknown.
func (b *Builder) newTarget(entry *storeview.KnownTarget, previous *Target) *Target {
	service := b.services[entry.Service]
	isEvacuated := b.evacuated[entry.Zone]
	target := &Target{
		KnownTarget: entry, Token: Of(entry.Identifier), Load: b.undeclared,
		IsEligible:   !entry.IsRemoved && !entry.Draining && !isEvacuated,
		IsEvacuated:  isEvacuated,
		isUndeclared: b.configuration != nil && service == nil,
	}
	if service != nil {
		target.Load, target.SlowStartRate = service.Load, service.slowStartRate
	} else if load := b.loads[entry.Service]; load != nil {
		target.Load = load
	}
	target.inheritState(previous)
	return target
}

// inheritState takes over the signal of the target's previous state. A new incarnation starts with
// a fresh signal, since observations of the earlier one don't apply to it, and its start counts as
// activity.
func (t *Target) inheritState(previous *Target) {
	t.LatestIncarnation = t.Incarnation
	t.presentSince = t.LearnedAt
	t.wasSuperseded = previous != nil && previous.wasSuperseded
	if previous != nil && !previous.IsRemoved {
		t.presentSince, t.isUnresponsive = previous.presentSince, previous.isUnresponsive
		t.reportedSuccessor = previous.reportedSuccessor
	}
	switch {
	case previous == nil:
		t.Signal = &balance.Signal{}
	case previous.LatestIncarnation != 0 && t.Incarnation > previous.LatestIncarnation:
		t.Signal = &balance.Signal{}
		t.Signal.RecordActivity(t.LearnedAt)
	default:
		t.Signal = previous.Signal
		t.LatestIncarnation = max(t.LatestIncarnation, previous.LatestIncarnation)
	}
}

// table returns a table of the current index.
func (b *Builder) table(now time.Time) *Table {
	table := &Table{index: b.index}
	if b.configuration == nil {
		return table
	}
	table.Version, table.Idle = b.configuration.Version, b.configuration.IdleTimeout
	table.services = b.services
	table.routes, table.dropped = b.routes.build(now, b.configuration)
	return table
}

// declaredServices returns the services that the configuration declares.
func (b *Builder) declaredServices() map[string]*Service {
	services := map[string]*Service{}
	if b.configuration == nil {
		return services
	}
	for _, declared := range b.configuration.Services {
		services[declared.Name] = &Service{
			Name: declared.Name, Load: b.loadOf(declared.Name),
			maxFlows: declared.MaxFlows, slowStartRate: declared.SlowStartRate,
		}
	}
	return services
}

// loadOf returns the overload controller of a service, which is kept across tables.
func (b *Builder) loadOf(service string) *overload.Controller {
	load := b.loads[service]
	if load == nil {
		load = overload.New(b.overload)
		b.loads[service] = load
	}
	return load
}

// pruneLoads removes the controllers of services that are neither declared nor have targets.
func (b *Builder) pruneLoads() {
	if len(b.loads) == len(b.services) {
		return
	}
	used := map[string]bool{}
	b.index.each(func(target *Target) { used[target.Service] = true })
	maps.DeleteFunc(b.loads, func(service string, _ *overload.Controller) bool {
		return b.services[service] == nil && !used[service]
	})
}

// evacuatedZones returns the zones whose targets must not receive new flows.
func evacuatedZones(view *storeview.View) map[string]bool {
	zones := map[string]bool{}
	for _, order := range view.Orders() {
		if order.Kind == storeview.OrderEvacuate {
			zones[order.Zone] = true
		}
	}
	return zones
}
