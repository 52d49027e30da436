package simulation

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering/token"
)

const (
	// routerLag is how long after a daemon stopped or started to serve the
	// routers take note.
	routerLag = time.Second
	// drainBound is how long after the store's word a leaving target may still
	// get new flows.
	drainBound = 3 * time.Second
	// flowPins bounds the opening flows of a simulated daemon.
	flowPins        = 1024
	flowPinLifetime = 3 * time.Second
	flowRetention   = time.Minute
)

// openingCopies are when a caller sends its opening packet, from the first.
var openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// FlowTarget is one run of a back end in the model.
type FlowTarget struct {
	Key        string
	Identifier uint64
	Service    string
	Address    netip.AddrPort
	Zone       string
	Alive      bool
	// LeavingAt is when the store took its word that it leaves, or its removal;
	// zero while it stays.
	LeavingAt time.Time

	flows map[*Flow]bool
}

// Flow is one caller's exchange with a target.
type Flow struct {
	Caller netip.AddrPort
	Route  netip.AddrPort
	// Token is the last one the caller got, 0 before the first.
	Token  uint32
	Target *FlowTarget
	// Opened says that the target has the end of the handshake.
	Opened bool
	Ended  bool
}

// FlowModel is callers, routers and targets around a followed fleet, in virtual
// time. It notes what must never happen as violations of the fleet.
type FlowModel struct {
	*FollowedFleet
	// Begun and Opened count flows: those that callers began, and those whose
	// target has the end of the handshake.
	Begun  int
	Opened int

	random  *rand.Rand
	paths   []*dataPath
	targets map[netip.AddrPort]*FlowTarget
	// allowed are the services that any configuration ever put behind a route,
	// since when, and until when for those that no longer are.
	allowed map[netip.AddrPort]map[string]*allowance
	version uint64
	number  int
}

// allowance is the time in which a route led to a service.
type allowance struct {
	until time.Time // zero while it does
}

// dataPath is one daemon's, rebuilt whenever its view changed.
type dataPath struct {
	generation int
	revision   uint64
	builder    *token.Builder
	opener     *token.Opener
	table      *token.Table
}

// NewFlowModel puts a model around a fleet.
func NewFlowModel(fleet *FollowedFleet, seed uint64) *FlowModel {
	model := &FlowModel{
		FollowedFleet: fleet,
		random:        rand.New(rand.NewPCG(seed, 5)),
		targets:       map[netip.AddrPort]*FlowTarget{},
		allowed:       map[netip.AddrPort]map[string]*allowance{},
	}
	for range fleet.Daemons {
		model.paths = append(model.paths, &dataPath{})
	}
	return model
}

// Configure puts a configuration that leads each route to the services given.
func (m *FlowModel) Configure(routes map[netip.AddrPort][]string) {
	m.version++
	configuration := &followed.Configuration{Version: m.version}
	services := map[string]bool{}
	for _, address := range sortedRoutes(routes) {
		route := followed.Route{Address: address}
		for _, service := range routes[address] {
			services[service] = true
			route.Backends = append(route.Backends, followed.Backend{Service: service, Weight: 1})
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	for service := range services {
		configuration.Services = append(configuration.Services, followed.Service{Name: service})
	}
	slices.SortFunc(configuration.Services, func(a, b followed.Service) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	m.Store.Put(followed.Entry{Key: "config", Configuration: configuration})
	m.noteAllowed(routes)
}

func sortedRoutes(routes map[netip.AddrPort][]string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address := range routes {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

func (m *FlowModel) noteAllowed(routes map[netip.AddrPort][]string) {
	now := m.Clock.Now()
	for address, services := range m.allowed {
		for service, allowed := range services {
			if allowed.until.IsZero() && !slices.Contains(routes[address], service) {
				allowed.until = now
			}
		}
	}
	for address, services := range routes {
		if m.allowed[address] == nil {
			m.allowed[address] = map[string]*allowance{}
		}
		for _, service := range services {
			m.allowed[address][service] = &allowance{}
		}
	}
}

// AddTarget starts a target at an address and has the store say so.
func (m *FlowModel) AddTarget(service, zone string, address netip.AddrPort) *FlowTarget {
	m.number++
	target := &FlowTarget{
		Key: fmt.Sprint("target-", m.number), Identifier: 0x1_0000_0000 + uint64(m.number), Service: service,
		Address: address, Zone: zone, Alive: true, flows: map[*Flow]bool{},
	}
	m.targets[address] = target
	m.putTarget(target, false)
	return target
}

func (m *FlowModel) putTarget(target *FlowTarget, draining bool) {
	m.Store.Put(followed.Entry{Key: target.Key, Target: &followed.Target{
		Identifier: target.Identifier, Service: target.Service, Address: target.Address,
		Zone: target.Zone, Slots: 2, Draining: draining,
	}})
}

// DrainTarget has a target say that it leaves, serve on for a while, and end.
func (m *FlowModel) DrainTarget(target *FlowTarget) {
	target.LeavingAt = m.Clock.Now()
	m.putTarget(target, true)
	m.Clock.After(drainBound+500*time.Millisecond, func() {
		m.end(target)
		m.Store.Put(followed.Entry{Key: target.Key})
	})
}

// CrashTarget ends a target without a word; its entry goes later.
func (m *FlowModel) CrashTarget(target *FlowTarget) {
	m.end(target)
	m.Clock.After(3600*time.Millisecond, func() {
		target.LeavingAt = m.Clock.Now()
		m.Store.Put(followed.Entry{Key: target.Key})
	})
}

func (m *FlowModel) end(target *FlowTarget) {
	target.Alive = false
	if m.targets[target.Address] == target {
		delete(m.targets, target.Address)
	}
}

// path returns a daemon's data path as of what it believes now, nil if it has
// none.
func (m *FlowModel) path(index int) *dataPath {
	daemon, path := m.Daemons[index], m.paths[index]
	if daemon.Core == nil || m.Clock.Now().Before(daemon.PausedUntil) {
		return nil
	}
	if path.generation != daemon.generation {
		*path = dataPath{
			generation: daemon.generation,
			builder:    token.NewBuilder(flowRetention),
			opener:     token.NewOpener(daemon.Zone, m.random, ownership.NewTable(flowPins, flowPinLifetime)),
		}
	}
	view := daemon.Core.View()
	if path.table == nil || path.revision != view.Revision() {
		path.revision = view.Revision()
		path.table = path.builder.Build(m.Clock.Now(), view)
	}
	if path.table == nil {
		return nil
	}
	return path
}

// route picks the daemon that gets a packet, as routers do that hash the address
// pair over the daemons they hold for live; -1 if there is none. A daemon that
// has just died is still among them.
func (m *FlowModel) route(flow *Flow) int {
	now := m.Clock.Now()
	var in []int
	for index, daemon := range m.Daemons {
		isUp := daemon.Core != nil && !now.Before(daemon.TroubledAt.Add(routerLag/2))
		diedJustNow := daemon.Core == nil && now.Sub(daemon.TroubledAt) < routerLag
		if isUp || diedJustNow {
			in = append(in, index)
		}
	}
	if len(in) == 0 {
		return -1
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(flow.Caller.String() + flow.Route.String()))
	return in[int(hash.Sum32())%len(in)]
}

// Begin opens a flow, which then sends a packet now and then until it ends.
func (m *FlowModel) Begin(caller, route netip.AddrPort, lifetime time.Duration) *Flow {
	flow := &Flow{Caller: caller, Route: route}
	m.Begun++
	for _, at := range openingCopies {
		m.Clock.After(at, func() {
			if flow.Token == 0 && !flow.Ended {
				m.send(flow, true)
			}
		})
	}
	m.Clock.After(lifetime, func() { flow.Ended = true })
	return flow
}

// send carries one packet of a caller through a daemon to a target.
func (m *FlowModel) send(flow *Flow, isOpening bool) {
	sentAt := m.Clock.Now()
	m.Clock.After(m.delay(), func() {
		index := m.route(flow)
		if index < 0 {
			return
		}
		path := m.path(index)
		if path == nil {
			return
		}
		packet := &token.Packet{Source: flow.Caller, Destination: flow.Route, IsOpening: isOpening}
		if !isOpening {
			packet.Token = flow.Token
		}
		decision := m.decide(path, packet)
		switch decision.Action {
		case token.Forward:
			m.Clock.After(m.delay(), func() { m.arrive(flow, index, decision.Target, isOpening, sentAt) })
		case token.Refuse:
			m.refused(flow, decision.Reason)
		case token.Drop:
		}
	})
}

func (m *FlowModel) decide(path *dataPath, packet *token.Packet) token.Decision {
	if packet.IsOpening {
		return path.opener.Open(m.Clock.Now(), path.table, packet)
	}
	decision := path.table.Follow(packet)
	if decision.Action == token.Forward {
		path.opener.NoteAnswered(&decision, packet)
	}
	return decision
}

// refused is a reset that a daemon sent to the caller. On a flow that is open at a
// living target it may come only where the route is gone.
func (m *FlowModel) refused(flow *Flow, reason token.Reason) {
	isOpen := flow.Opened && !flow.Ended && flow.Target.Alive
	if isOpen && m.leadsSomewhere(flow.Route) {
		m.violate("FLOW: an open flow to %s was reset: %s", flow.Target.Key, reason)
	}
	flow.Ended = true
}

func (m *FlowModel) leadsSomewhere(route netip.AddrPort) bool {
	for _, allowed := range m.allowed[route] {
		if allowed.until.IsZero() {
			return true
		}
	}
	return false
}

// arrive is a datagram at a target's address. Whoever is there takes it only if
// it is the target that is meant.
func (m *FlowModel) arrive(flow *Flow, daemon int, meant *token.Target, isOpening bool, sentAt time.Time) {
	target := m.targets[meant.Address]
	if target == nil || target.Identifier != meant.Identifier {
		return
	}
	if isOpening {
		m.takeOpening(flow, daemon, target, sentAt)
		return
	}
	if flow.Target != target {
		m.violate("FLOW: a packet of a flow to %s reached %s", flow.Target.Key, target.Key)
		return
	}
	if !flow.Opened {
		flow.Opened = true
		m.Opened++
		target.flows[flow] = true
	}
}

func (m *FlowModel) takeOpening(flow *Flow, daemon int, target *FlowTarget, sentAt time.Time) {
	m.checkRoute(flow, daemon, target, sentAt)
	m.checkDrain(daemon, target)
	m.Clock.After(m.delay(), func() {
		if flow.Token != 0 || flow.Ended {
			return
		}
		flow.Token = token.Of(target.Identifier)
		flow.Target = target
		m.keepSending(flow)
	})
}

// keepSending lets the caller's further packets go, each through whatever daemon
// the routers pick then.
func (m *FlowModel) keepSending(flow *Flow) {
	if flow.Ended {
		return
	}
	m.send(flow, false)
	m.Clock.After(300*time.Millisecond, func() { m.keepSending(flow) })
}

// isInTouch reports whether bounds hold for a daemon now.
func (m *FlowModel) isInTouch(daemon int) bool {
	return m.Clock.Now().Sub(m.Daemons[daemon].TroubledAt) >= 4*time.Second
}

func (m *FlowModel) checkRoute(flow *Flow, daemon int, target *FlowTarget, sentAt time.Time) {
	allowed := m.allowed[flow.Route][target.Service]
	if allowed == nil {
		m.violate("ROUTE: %s of service %s got a flow to %s", target.Key, target.Service, flow.Route)
		return
	}
	isLate := !allowed.until.IsZero() && sentAt.Sub(allowed.until) > drainBound
	if isLate && m.isInTouch(daemon) && m.StoreIsStable() {
		m.violate("CONFIG: daemon %d sends flows to %s %s after it left the route", daemon, target.Service, sentAt.Sub(allowed.until))
	}
}

func (m *FlowModel) checkDrain(daemon int, target *FlowTarget) {
	if target.LeavingAt.IsZero() || !m.isInTouch(daemon) || !m.StoreIsStable() {
		return
	}
	if late := m.Clock.Now().Sub(target.LeavingAt); late > drainBound {
		m.violate("DRAIN: daemon %d gave %s a flow %s after it began to leave", daemon, target.Key, late)
	}
}

// StoreIsStable reports whether the store has been well for long enough for
// bounds to hold.
func (m *FlowModel) StoreIsStable() bool {
	return m.Store.State == StoreWell && m.Clock.Now().Sub(m.Store.TroubledAt) >= 4*time.Second
}
