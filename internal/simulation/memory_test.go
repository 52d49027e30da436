package simulation

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/steering/token"
)

var kioskRoute = netip.MustParseAddrPort("198.18.0.3:443")

// memoryRun changes routes while daemons lose their state.
type memoryRun struct {
	*flowRun
	// leads is the service of each address, "" for none.
	leads map[netip.AddrPort]string
	// cutUntil is the time until which bounds don't apply to a daemon that was isolated.
	cutUntil [flowDaemons]time.Time
}

func startMemoryRun(seed uint64) *memoryRun {
	run := &memoryRun{
		flowRun: startFlowRun(seed),
		leads:   map[netip.AddrPort]string{rosterRoute: "roster", ledgerRoute: "ledger", kioskRoute: "roster"},
	}
	run.Unlimited = true // packets held at concurrency limits are lost in this model
	run.OutOfTouch = func(daemon int) bool { return run.Clock.Now().Before(run.cutUntil[daemon]) }
	run.lead()
	run.Clock.Advance(2 * time.Second)
	return run
}

// lead writes the configuration that leads describes.
func (r *memoryRun) lead() {
	routes := map[netip.AddrPort][]string{}
	for address, service := range r.leads {
		if service != "" {
			routes[address] = []string{service}
		}
	}
	r.Configure(routes)
}

func (r *memoryRun) begin() *Flow {
	r.caller++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.caller >> 14), byte(r.caller >> 6)}), uint16(1000+r.caller&63))
	route := []netip.AddrPort{rosterRoute, ledgerRoute, kioskRoute, kioskRoute}[r.random.IntN(4)]
	return r.Begin(caller, route, time.Second+time.Duration(r.random.Int64N(int64(20*time.Second))))
}

// change points a route to the other service, or removes or adds the optional route.
func (r *memoryRun) change() {
	route := []netip.AddrPort{rosterRoute, ledgerRoute, kioskRoute}[r.random.IntN(3)]
	switch {
	case r.leads[route] == "":
		r.leads[route] = r.service()
	case route == kioskRoute && r.random.IntN(2) == 0:
		r.leads[route] = ""
		if r.random.IntN(2) == 0 { // add it again soon after
			r.Clock.After(time.Duration(r.random.Int64N(int64(3*time.Second))), func() {
				r.leads[route] = r.service()
				r.lead()
			})
		}
	default:
		r.leads[route] = r.otherService(r.leads[route])
	}
	r.lead()
}

func (r *memoryRun) loseMemory() {
	daemon, span := r.random.IntN(flowDaemons), 500*time.Millisecond+time.Duration(r.random.Int64N(int64(4*time.Second)))
	switch r.random.IntN(8) {
	case 0, 1, 2:
		r.restart(daemon, span/4)
	case 3:
		for index := range flowDaemons { // power outage
			r.restart(index, span/4)
		}
	case 4:
		r.Pause(daemon, span)
	case 5:
		r.cutOff(daemon, span)
	case 6:
		r.Store.Forget()
	case 7:
		r.disturbStore([]StoreState{StoreSilent, StoreBroken, StoreRefusing}[r.random.IntN(3)], span)
	}
}

// cutOff isolates a daemon from the others and the store while routes change.
func (r *memoryRun) cutOff(daemon int, span time.Duration) {
	r.cutUntil[daemon] = r.Clock.Now().Add(span + 4*time.Second)
	r.Cut = func(from, to int) bool { return (from == daemon) != (to == daemon) }
	r.Store.StateFor = func(caller int) StoreState {
		if caller == daemon {
			return StoreSilent
		}
		return StoreWell
	}
	r.Clock.After(span/4, r.change)
	r.Clock.After(span/2, r.change)
	r.Clock.After(span, func() { r.Cut, r.Store.StateFor = nil, nil })
}

// stray sends packets with tokens that are invalid at their address: bound to another address, for
// a target of each service; an unbound one; zero; and a random one.
func (r *memoryRun) stray() {
	caller := netip.MustParseAddrPort("100.127.0.1:9")
	for _, targets := range r.present {
		identifier := targets[r.random.IntN(len(targets))].Identifier
		r.Stray(caller, rosterRoute, token.WordAt(ledgerRoute, identifier))
		r.Stray(caller, ledgerRoute, token.WordAt(kioskRoute, identifier))
		r.Stray(caller, kioskRoute, token.Of(identifier))
	}
	r.Stray(caller, rosterRoute, 0)
	r.Stray(caller, rosterRoute, r.random.Uint32())
}

func (r *memoryRun) play() {
	const seconds, perSecond = 25, 8
	for step := range seconds * perSecond {
		r.begin()
		switch step % (2 * perSecond) {
		case 0:
			r.change()
		case perSecond / 2, perSecond + 3:
			r.loseMemory()
		case perSecond:
			r.stray()
		case perSecond + 1:
			r.replace()
		}
		r.Clock.Advance(time.Second / perSecond)
	}
	r.Clock.Advance(8 * time.Second)
}

// replace drains a target, or crashes it and lets the other service reuse its address.
func (r *memoryRun) replace() {
	service := r.service()
	target := r.take(service)
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

// TestNoFlowNeedsADaemonsMemory checks that daemons that were restarted or isolated still forward
// the flows of routes that changed, reset only the flows of removed routes, and forward no invalid
// token.
func TestNoFlowNeedsADaemonsMemory(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		run := startMemoryRun(seed)
		run.play()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
		assert.Assert(t, run.Opened > run.Begun/3, "seed %d: only %d of %d flows opened", seed, run.Opened, run.Begun)
	})
}

// TestAFlowUnderARouteThatCameBackIsNotReset uses seeds on which an isolated daemon opens a flow
// without knowing that the route was removed and added again, and then learns only of the removal.
func TestAFlowUnderARouteThatCameBackIsNotReset(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{146, 259} {
		run := startMemoryRun(seed)
		run.play()
		assert.Equal(t, len(run.Violations), 0, "seed %d: %v", seed, run.Violations)
	}
}

// openKiosk opens flows on a route, removes the route and restarts all daemons.
func openKiosk(t *testing.T, spoil func(*memoryRun)) *memoryRun {
	t.Helper()
	run := startMemoryRun(1)
	for number := range 40 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("100.65.0.1"), uint16(1000+number))
		run.Begin(caller, kioskRoute, time.Minute)
	}
	run.Clock.Advance(time.Second)
	assert.Equal(t, run.Opened, 40)
	spoil(run)
	run.leads[kioskRoute] = ""
	run.lead()
	for index := range flowDaemons {
		run.restart(index, 300*time.Millisecond)
	}
	run.Clock.Advance(5 * time.Second)
	return run
}

// TestDaemonsWithoutMemoryResetTheFlowsOfADroppedRoute checks that all flows are reset once the
// store has confirmed that the route is removed, and none if the mechanism is disabled.
func TestDaemonsWithoutMemoryResetTheFlowsOfADroppedRoute(t *testing.T) {
	t.Parallel()
	assert.Equal(t, openKiosk(t, func(*memoryRun) {}).Resets, 40)
	off := func(run *memoryRun) {
		run.Spoil = func(_ *token.Packet, decision *token.Decision) {
			if decision.Reason == token.ReasonUnconfirmedRoute {
				decision.Reason = token.ReasonNoRoute
			}
		}
	}
	assert.Equal(t, openKiosk(t, off).Resets, 0)
}

// TestTheChecksFindDaemonsThatNeedMemory corrupts some decisions and expects the named check to
// detect it within 20 schedules.
func TestTheChecksFindDaemonsThatNeedMemory(t *testing.T) {
	t.Parallel()
	var last token.Decision // the latest decision to forward a packet
	for check, spoil := range map[string]func(packet *token.Packet, decision *token.Decision){
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
			run := startMemoryRun(seed)
			run.Spoil = spoil
			run.play()
			found = hasViolation(run.flowRun, check)
		}
		assert.Assert(t, found, check)
	}
}
