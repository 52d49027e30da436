package token

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

func TestBindingIsBijective(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		bound := binding(max(1, random.Uint32()))
		for _, token := range []uint32{1, uint32(bound), ^uint32(bound), max(1, random.Uint32())} {
			boundToken := bound.boundToken(token)
			assert.Assert(t, boundToken != 0, "0 means no token")
			assert.Equal(t, bound.token(boundToken), token)
		}
		assert.Equal(t, bound.token(0), uint32(0))
	}
}

// TestBindingsAreStable guards compatibility: daemons of different builds must steer each other's
// flows.
func TestBindingsAreStable(t *testing.T) {
	assert.Equal(t, bindingOf(rosterAddress), binding(0x019a134a))
	assert.Equal(t, bindingOf(netip.AddrPortFrom(netip.AddrFrom16(rosterAddress.Addr().As16()), 443)), bindingOf(rosterAddress))
}

// TestRestartedDaemonSteersFlowsOpenedBeforeRouteChange guards against losing flows in a daemon
// that was started after the route changed to another service.
func TestRestartedDaemonSteersFlowsOpenedBeforeRouteChange(t *testing.T) {
	before, restarted := newSite(t), newSite(t)
	opened := before.open(rosterAddress, 1)
	toLedger := storeview.Route{Address: rosterAddress, Backends: []storeview.Backend{{Service: "ledger", Weight: 1}}}
	restarted.configure(toLedger)
	restarted.builder = NewBuilder(time.Minute)
	restarted.configure(toLedger)
	decision := restarted.followBound(rosterAddress, 1, opened.BoundToken())
	assert.Equal(t, decision.Action, Forward)
	assert.Equal(t, decision.Target.Identifier, opened.Target.Identifier)
}

// TestTokenBoundToAnotherAddressIsUnknown checks that a token bound to another address, or not
// bound at all, is unknown, even if the same service is behind both routes.
func TestTokenBoundToAnotherAddressIsUnknown(t *testing.T) {
	site := newSite(t)
	for _, value := range []uint32{BoundTokenAt(rosterAddress, 100), BoundTokenAt(rosterAddress, 200), Of(100), Of(200)} {
		decision := site.followBound(mixedAddress, 1, value)
		assert.Equal(t, decision.Action, Drop)
		assert.Equal(t, decision.Reason, ReasonUnknownToken)
	}
}

// BenchmarkSteerEstablished steers a packet of an established flow.
func BenchmarkSteerEstablished(b *testing.B) {
	site := newLargeSite(1000, 1000)
	packet := &Packet{Source: caller(1), Destination: rosterAddress, Token: BoundTokenAt(rosterAddress, 1000)}
	b.ReportAllocs()
	for b.Loop() {
		if site.table.SteerEstablished(site.now, packet).Action != Forward {
			b.Fatal("packet with a known token was not forwarded")
		}
	}
}
