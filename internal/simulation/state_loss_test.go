package simulation

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/steering/token"
)

var kioskRoute = netip.MustParseAddrPort("198.18.0.3:443")

// stateLossRun changes routes while daemons lose their state.
type stateLossRun struct {
	*flowRun
	// services is the service of each address, "" for none.
	services map[netip.AddrPort]string
	// isolatedUntil is the time until which bounds don't apply to a daemon that was isolated.
	isolatedUntil [flowDaemons]time.Time
}

func startStateLossRun(seed uint64) *stateLossRun {
	run := &stateLossRun{
		flowRun:  startFlowRun(seed),
		services: map[netip.AddrPort]string{rosterRoute: "roster", ledgerRoute: "ledger", kioskRoute: "roster"},
	}
	run.Unlimited = true // packets held at concurrency limits are lost in this model
	run.IsIsolated = func(daemon int) bool { return run.Clock.Now().Before(run.isolatedUntil[daemon]) }
	run.writeRoutes()
	run.Clock.Advance(2 * time.Second)
	return run
}

// writeRoutes writes the configuration that services describes.
func (r *stateLossRun) writeRoutes() {
	routes := map[netip.AddrPort][]string{}
	for address, service := range r.services {
		if service != "" {
			routes[address] = []string{service}
		}
	}
	r.Configure(routes)
}

func (r *stateLossRun) beginFlow() *Flow {
	r.caller++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.caller >> 14), byte(r.caller >> 6)}), uint16(1000+r.caller&63))
	route := []netip.AddrPort{rosterRoute, ledgerRoute, kioskRoute, kioskRoute}[r.random.IntN(4)]
	return r.Begin(caller, route, time.Second+time.Duration(r.random.Int64N(int64(20*time.Second))))
}

// changeRoute points a route to the other service, or removes or adds the optional route.
func (r *stateLossRun) changeRoute() {
	route := []netip.AddrPort{rosterRoute, ledgerRoute, kioskRoute}[r.random.IntN(3)]
	switch {
	case r.services[route] == "":
		r.services[route] = r.service()
	case route == kioskRoute && r.random.IntN(2) == 0:
		r.services[route] = ""
		if r.random.IntN(2) == 0 { // add it again soon after
			r.Clock.After(time.Duration(r.random.Int64N(int64(3*time.Second))), func() {
				r.services[route] = r.service()
				r.writeRoutes()
			})
		}
	default:
		r.services[route] = r.otherService(r.services[route])
	}
	r.writeRoutes()
}

func (r *stateLossRun) loseState() {
	daemon, duration := r.random.IntN(flowDaemons), 500*time.Millisecond+time.Duration(r.random.Int64N(int64(4*time.Second)))
	switch r.random.IntN(8) {
	case 0, 1, 2:
		r.restart(daemon, duration/4)
	case 3:
		for index := range flowDaemons { // power outage
			r.restart(index, duration/4)
		}
	case 4:
		r.Pause(daemon, duration)
	case 5:
		r.isolate(daemon, duration)
	case 6:
		r.Store.Compact()
	case 7:
		r.setStoreState([]StoreState{StoreUnresponsive, StoreResetting, StoreUnavailable}[r.random.IntN(3)], duration)
	}
}

// isolate cuts a daemon off from the others and the store while routes change.
func (r *stateLossRun) isolate(daemon int, duration time.Duration) {
	r.isolatedUntil[daemon] = r.Clock.Now().Add(duration + 4*time.Second)
	r.Cut = func(from, to int) bool { return (from == daemon) != (to == daemon) }
	r.Store.StateFor = func(caller int) StoreState {
		if caller == daemon {
			return StoreUnresponsive
		}
		return StoreHealthy
	}
	r.Clock.After(duration/4, r.changeRoute)
	r.Clock.After(duration/2, r.changeRoute)
	r.Clock.After(duration, func() { r.Cut, r.Store.StateFor = nil, nil })
}

// sendStrays sends packets with tokens that are invalid at their address: bound to another address,
// for a target of each service; an unbound one; zero; and a random one.
func (r *stateLossRun) sendStrays() {
	caller := netip.MustParseAddrPort("100.127.0.1:9")
	for _, targets := range r.activeTargets {
		identifier := targets[r.random.IntN(len(targets))].Identifier
		r.SendStray(caller, rosterRoute, token.BoundTokenAt(ledgerRoute, identifier))
		r.SendStray(caller, ledgerRoute, token.BoundTokenAt(kioskRoute, identifier))
		r.SendStray(caller, kioskRoute, token.Of(identifier))
	}
	r.SendStray(caller, rosterRoute, 0)
	r.SendStray(caller, rosterRoute, r.random.Uint32())
}

func (r *stateLossRun) simulate() {
	const seconds, perSecond = 25, 8
	for step := range seconds * perSecond {
		r.beginFlow()
		switch step % (2 * perSecond) {
		case 0:
			r.changeRoute()
		case perSecond / 2, perSecond + 3:
			r.loseState()
		case perSecond:
			r.sendStrays()
		case perSecond + 1:
			r.replaceTarget()
		}
		r.Clock.Advance(time.Second / perSecond)
	}
	r.Clock.Advance(8 * time.Second)
}

// replaceTarget drains a target, or crashes it and lets the other service reuse its address.
func (r *stateLossRun) replaceTarget() {
	service := r.service()
	target := r.takeTarget(service)
	if target == nil {
		return
	}
	r.add(service, r.freshAddress())
	if r.random.IntN(2) == 0 {
		r.DrainTarget(target)
		return
	}
	r.CrashTarget(target)
	r.Clock.After(5700*time.Millisecond, func() { r.add(r.otherService(service), target.Address) })
}

// TestFlowsSurviveLossOfDaemonState checks that daemons that were isolated, or restarted alone or all
// at once, still forward the flows of routes that changed, reset only the flows of removed routes,
// and forward no packet with an invalid token.
func TestFlowsSurviveLossOfDaemonState(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startStateLossRun(seed)
		run.simulate()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		assert.Assert(t, run.Opened > run.Begun/3, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
	})
}

// TestFlowOfReaddedRouteIsNotReset uses seeds on which an isolated daemon opens a flow
// without knowing that the route was removed and added again, and then learns only of the removal.
func TestFlowOfReaddedRouteIsNotReset(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{146, 259} {
		run := startStateLossRun(seed)
		run.simulate()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// removeKioskRoute opens flows on a route, removes the route and restarts all daemons.
func removeKioskRoute(t *testing.T, corrupt func(*stateLossRun)) *stateLossRun {
	t.Helper()
	run := startStateLossRun(1)
	for number := range 40 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("100.65.0.1"), uint16(1000+number))
		run.Begin(caller, kioskRoute, time.Minute)
	}
	run.Clock.Advance(time.Second)
	assert.Equal(t, run.Opened, 40)
	corrupt(run)
	run.services[kioskRoute] = ""
	run.writeRoutes()
	for index := range flowDaemons {
		run.restart(index, 300*time.Millisecond)
	}
	run.Clock.Advance(5 * time.Second)
	return run
}

// TestRestartedDaemonsResetFlowsOfRemovedRoute checks that all flows are reset once the
// store has confirmed that the route is removed, and none if the mechanism is disabled.
func TestRestartedDaemonsResetFlowsOfRemovedRoute(t *testing.T) {
	t.Parallel()
	assert.Equal(t, removeKioskRoute(t, func(*stateLossRun) {}).Resets, 40)
	off := func(run *stateLossRun) {
		run.Corrupt = func(_ *token.Packet, decision *token.Decision) {
			if decision.Reason == token.ReasonUnconfirmedRoute {
				decision.Reason = token.ReasonNoRoute
			}
		}
	}
	assert.Equal(t, removeKioskRoute(t, off).Resets, 0)
}

// TestChecksDetectDependenceOnDaemonState corrupts some decisions and expects the named check to
// detect it within 20 schedules.
func TestChecksDetectDependenceOnDaemonState(t *testing.T) {
	t.Parallel()
	var last token.Decision // the latest decision to forward a packet
	for check, corrupt := range map[string]func(packet *token.Packet, decision *token.Decision){
		"MEMORY": func(packet *token.Packet, decision *token.Decision) { // drops flows of one service
			if !packet.IsOpening && decision.Target != nil && decision.Target.Service != "roster" {
				*decision = token.Decision{Reason: token.ReasonUnknownToken}
			}
		},
		"ROUTE": func(_ *token.Packet, decision *token.Decision) { // accepts any token
			switch {
			case decision.Action == token.Forward:
				last = *decision
			case decision.Reason == token.ReasonUnknownToken:
				*decision = last
			}
		},
		"FLOW": func(_ *token.Packet, decision *token.Decision) { // doesn't wait for the confirmation
			if decision.Reason == token.ReasonUnconfirmedRoute {
				*decision = token.Decision{Action: token.Refuse, Reason: token.ReasonDroppedRoute}
			}
		},
	} {
		found := false
		for seed := uint64(0); seed < 20 && !found; seed++ {
			run := startStateLossRun(seed)
			run.Corrupt = corrupt
			run.simulate()
			found = hasViolation(run.flowRun, check)
		}
		assert.Assert(t, found, check)
	}
}
