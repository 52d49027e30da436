package token

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/storeview"
)

// newUnroutedSite is a site that has just received a packet of a flow whose route it doesn't know.
func newUnroutedSite(t *testing.T) (*site, *Unrouted) {
	t.Helper()
	site, unrouted := newSite(t), NewUnrouted()
	site.builder = NewBuilder(time.Minute)
	site.configure(standardRoutes()[1:]...)
	noteUnrouted(t, site, unrouted, 1)
	return site, unrouted
}

func noteUnrouted(t *testing.T, site *site, unrouted *Unrouted, number int) {
	t.Helper()
	packet := &Packet{Source: caller(number), Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 100), Acknowledgement: uint32(number)}
	assert.Equal(t, site.table.SteerEstablished(site.now, packet).Reason, ReasonUnconfirmedRoute)
	unrouted.Record(site.now, site.now, packet)
}

// TestUnroutedFlowIsResetOnceRemovalIsConfirmed also checks that further packets don't delay the
// reset.
func TestUnroutedFlowIsResetOnceRemovalIsConfirmed(t *testing.T) {
	site, unrouted := newUnroutedSite(t)
	confirmed := site.now.Add(confirmationMargin)
	site.now = confirmed
	noteUnrouted(t, site, unrouted, 1)
	assert.Equal(t, len(unrouted.TakeDropped(site.now, confirmed.Add(-time.Nanosecond), site.table)), 0)
	dropped := unrouted.TakeDropped(site.now, confirmed, site.table)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Source, caller(1))
	assert.Equal(t, dropped[0].Acknowledgement, uint32(1), "a reset must carry the acknowledgement")
	assert.Equal(t, unrouted.Len(), 0, "flow still tracked after its reset")
}

// TestUnroutedFlowIsForgotten covers flows that must not be reset.
func TestUnroutedFlowIsForgotten(t *testing.T) {
	for name, change := range map[string]func(site *site){
		"route known now": func(site *site) { site.configure(standardRoutes()...) },
		"idle caller":     func(site *site) { site.now = site.now.Add(unroutedIdleTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			site, unrouted := newUnroutedSite(t)
			change(site)
			assert.Equal(t, len(unrouted.TakeDropped(site.now, site.now.Add(time.Hour), site.table)), 0)
			assert.Equal(t, unrouted.Len(), 0)
		})
	}
}

func TestUnroutedFlowsAreBounded(t *testing.T) {
	site, unrouted := newUnroutedSite(t)
	for number := range 2 * maxUnrouted {
		noteUnrouted(t, site, unrouted, number)
	}
	assert.Equal(t, unrouted.Len(), maxUnrouted)
}

// TestInvalidTokenIsNoUnconfirmedRoute: an invalid token, or a reset, is no evidence of a flow.
func TestInvalidTokenIsNoUnconfirmedRoute(t *testing.T) {
	site, _ := newUnroutedSite(t)
	for _, packet := range []Packet{
		{Token: BoundTokenAt(ledgerAddress, 100)},
		{Token: Of(100)},
		{},
		{Token: BoundTokenAt(rosterAddress, 100), IsReset: true},
	} {
		packet.Source, packet.Destination = caller(1), rosterAddress
		assert.Equal(t, site.table.SteerEstablished(site.now, &packet).Reason, ReasonNoRoute)
	}
}

// TestFlowOfReaddedRouteIsNotTakenForEarlierOne guards a new flow against a reset because the same
// caller had a flow before the route was removed and added again.
func TestFlowOfReaddedRouteIsNotTakenForEarlierOne(t *testing.T) {
	site := newSite(t)
	data := &Packet{Source: caller(1), Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 100), PayloadLength: 1}
	decision := site.table.SteerEstablished(site.now, data)
	site.requests.Record(site.now, &decision, data)
	site.now = site.now.Add(time.Second)
	for _, routes := range [][]storeview.Route{standardRoutes()[1:], standardRoutes(), standardRoutes()[1:]} {
		site.configure(routes...)
	}
	decision = site.table.SteerEstablished(site.now, data)
	assert.Assert(t, decision.Route != nil)
	assert.Equal(t, site.requests.OpenSince(site.now, &decision, data), site.now)
}

// TestNewFlowIsNotResetForEarlierOne guards a flow opened from the same port, after the route was
// added again, against the state of the flow that was reset.
func TestNewFlowIsNotResetForEarlierOne(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	requests, unrouted := NewRequests(16), NewUnrouted()
	target := &Target{KnownTarget: newEntry("t", 1), Token: 11, Signal: &balance.Signal{}, Load: overload.New(overload.Config{})}
	routed := Decision{Action: Forward, Route: &Route{Number: 1}, Target: target}
	old := Packet{Source: caller(1), Destination: rosterAddress, PayloadLength: 1, Acknowledgement: 5}
	requests.Record(now, &routed, &old)
	table := &Table{dropped: map[netip.AddrPort]*Route{rosterAddress: routed.Route}}
	dropped := Decision{Reason: ReasonUnconfirmedRoute, Route: routed.Route, Target: target}
	now = now.Add(time.Second)
	unrouted.Record(now, requests.OpenSince(now, &dropped, &old), &old)
	reset := unrouted.TakeDropped(now, now, table)
	assert.Equal(t, len(reset), 1, "old flow not reset")
	requests.RecordDropped(table, &reset[0])
	assert.Equal(t, requests.Len(), 0, "request of the old flow still pending")
	confirmedAt := now
	now = now.Add(time.Second) // a new flow was opened through another daemon
	later := Packet{Source: caller(1), Destination: rosterAddress, PayloadLength: 1, Acknowledgement: 77_000_000}
	unrouted.Record(now, requests.OpenSince(now, &dropped, &later), &later)
	assert.Equal(t, len(unrouted.TakeDropped(now, confirmedAt, table)), 0, "new flow was reset")
}

// TestNewFlowOfReaddedRouteReplacesEarlierOne guards a new flow against a reset when the target of
// the old flow dies.
func TestNewFlowOfReaddedRouteReplacesEarlierOne(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	requests, load := NewRequests(16), overload.New(overload.Config{})
	one := &Target{KnownTarget: newEntry("t", 1), Token: 11, Signal: &balance.Signal{}, Load: load}
	two := &Target{KnownTarget: newEntry("t", 2), Token: 22, Signal: &balance.Signal{}, Load: load}
	before := Decision{Action: Forward, Route: &Route{Number: 1}, Target: one}
	after := Decision{Action: Forward, Route: &Route{Number: 2}, Target: two}
	requests.Record(now, &before, &Packet{Source: caller(1), Destination: rosterAddress, Token: 11, Acknowledgement: 5})
	now = now.Add(time.Second)
	requests.RecordOpening(now, &after, &Packet{Source: caller(1), Destination: rosterAddress, IsOpening: true})
	requests.Record(now, &after, &Packet{Source: caller(1), Destination: rosterAddress, Token: 22, Acknowledgement: 9})
	assert.Equal(t, len(requests.TakeIdle(isDeadAt(11), 10)), 0)
}
