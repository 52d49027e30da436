package token

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/storeview"
)

func TestFlowOfDeadTargetIsRefused(t *testing.T) {
	site := newSite(t)
	opened := site.open(rosterAddress, 1)
	target := opened.Target
	site.table.SetDead(target.Identifier, site.now.Add(time.Second), site.now.Add(2*time.Second))
	refused := site.follow(rosterAddress, 1, target.Token)
	assert.Equal(t, refused.Action, Refuse)
	assert.Equal(t, refused.Reason, ReasonDeadTarget)
	for number := range 200 {
		assert.Assert(t, site.open(rosterAddress, 10+number).Target != target, "new flow sent to a dead target")
	}
	assert.Assert(t, site.open(rosterAddress, 1).Target != target, "retransmitted first packet sent to a dead target")

	site.now = site.now.Add(time.Second)
	assert.Equal(t, site.follow(rosterAddress, 1, target.Token).Action, Forward, "flow not forwarded after the dead state expired")
}

func TestSetAliveRevertsSetDead(t *testing.T) {
	site := newSite(t)
	opened := site.open(rosterAddress, 1)
	site.table.SetDead(opened.Target.Identifier, site.now.Add(time.Hour), site.now.Add(time.Hour))
	site.table.SetAlive(opened.Target.Identifier)
	assert.Equal(t, site.follow(rosterAddress, 1, opened.Target.Token).Action, Forward)
}

// A caller that sends a reset has ended its flow.
func TestCallersResetIsNotAnswered(t *testing.T) {
	site := newSite(t)
	opened := site.open(rosterAddress, 1)
	site.table.SetDead(opened.Target.Identifier, site.now.Add(time.Hour), site.now.Add(time.Hour))
	packet := &Packet{Source: caller(1), Destination: rosterAddress, Token: opened.BoundToken(), IsReset: true}
	assert.Equal(t, site.table.SteerEstablished(site.now, packet).Action, Drop)
}

// TestLaterTargetAtSameAddressSupersedes checks that a target is superseded by a later one at its
// address, whether or not its entry is still there.
func TestLaterTargetAtSameAddressSupersedes(t *testing.T) {
	for name, leave := range map[string]func(site *site){
		"both in the store":     func(*site) {},
		"earlier entry removed": func(site *site) { site.remove("roster-0") },
		"later target drains":   func(site *site) { site.target("new", 300, "ledger", drainingAtRoster0Address) },
	} {
		t.Run(name, func(t *testing.T) {
			site := newSite(t)
			site.now = site.now.Add(time.Minute)
			site.view.SetConfirmedAt(site.now)
			site.target("new", 300, "ledger", atRoster0Address)
			leave(site)
			refused := site.follow(rosterAddress, 1, Of(100))
			assert.Equal(t, refused.Action, Refuse)
			assert.Equal(t, refused.Reason, ReasonDeadTarget)
			assert.Equal(t, site.follow(ledgerAddress, 1, Of(300)).Action, Forward)
			for number := range 100 {
				assert.Assert(t, site.open(rosterAddress, number).Target.Identifier != 100)
			}
		})
	}
}

// TestGoneTargetIsNotSupersededByEarlierOne covers an earlier target whose removal is not known
// here yet.
func TestGoneTargetIsNotSupersededByEarlierOne(t *testing.T) {
	site := newSite(t)
	site.target("new", 300, "roster", atRoster0Address)
	site.remove("new")
	assert.Equal(t, site.follow(rosterAddress, 1, Of(300)).Action, Forward)
}

// TestTargetIsNotSupersededByEntryOfRestoredStore guards a running target against the entry of an
// ended one that a restored store lists under a later revision.
func TestTargetIsNotSupersededByEntryOfRestoredStore(t *testing.T) {
	for name, leave := range map[string]func(site *site){
		"later target in the store": func(*site) {},
		"later entry removed":       func(site *site) { site.remove("new") },
	} {
		t.Run(name, func(t *testing.T) {
			site := newSite(t)
			site.target("new", 300, "ledger", func(target *storeview.Target) {
				atRoster0Address(target)
				target.Incarnation = 9
			})
			leave(site)
			site.revision = storeview.NewRevision(1, 1)
			site.target("roster-0", 100, "roster", func(target *storeview.Target) { target.Incarnation = 4 })
			assert.Equal(t, site.follow(ledgerAddress, 1, Of(300)).Action, Forward)
		})
	}
}

// atRoster0Address moves a target to the address of roster-0.
func atRoster0Address(target *storeview.Target) {
	target.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 100)
}

func drainingAtRoster0Address(target *storeview.Target) {
	atRoster0Address(target)
	target.Draining = true
}

func TestGoneTargetKeepsServingOpenFlows(t *testing.T) {
	site := newSite(t)
	site.remove("roster-0")
	assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
}

func TestRetransmittedDataIsUnacknowledged(t *testing.T) {
	flow := newExchange(t)
	flow.send(1, 500, 100)
	sentAt := flow.now
	flow.now = flow.now.Add(minRetransmitDelay - time.Millisecond)
	flow.send(1, 500, 100)
	assert.Equal(t, len(flow.requests.TakeUnacknowledged()), 0, "duplicate made by the network taken for a retransmission")
	first := flow.now
	flow.now = flow.now.Add(200 * time.Millisecond)
	flow.send(1, 500, 100)
	unacknowledged := flow.requests.TakeUnacknowledged()
	assert.Equal(t, len(unacknowledged), 1)
	assert.Equal(t, unacknowledged[0].Target, uint64(100))
	assert.Assert(t, unacknowledged[0].Since.Equal(first) && first.After(sentAt))
	assert.Equal(t, len(flow.requests.TakeUnacknowledged()), 0, "returned twice")
}

func TestTargetActivity(t *testing.T) {
	lastActivity := func(flow *exchange) time.Time { return flow.site.table.LastActivity(liveness.Subject{Target: 100}) }
	t.Run("response", func(t *testing.T) {
		flow := newExchange(t)
		flow.send(1, 500, 100)
		assert.Assert(t, lastActivity(flow).IsZero())
		flow.now = flow.now.Add(20 * time.Millisecond)
		flow.send(101, 900, 0)
		assert.Assert(t, lastActivity(flow).Equal(flow.now))
	})
	t.Run("response acknowledged with the next request counts from the request", func(t *testing.T) {
		flow := newExchange(t)
		requestedAt := flow.now
		flow.send(1, 500, 100)
		flow.now = flow.now.Add(3 * time.Second) // the target may die while the caller is idle
		flow.send(101, 900, 100)
		assert.Assert(t, lastActivity(flow).Equal(requestedAt))
	})
	t.Run("reply to a first packet", func(t *testing.T) {
		site := newSite(t)
		opened := site.open(rosterAddress, 1)
		site.now = site.now.Add(5 * time.Millisecond)
		site.follow(rosterAddress, 1, opened.Target.Token)
		assert.Assert(t, site.table.LastActivity(liveness.Subject{Target: opened.Target.Identifier}).Equal(site.now))
	})
	t.Run("new data some time after the first", func(t *testing.T) {
		flow := newExchange(t)
		flow.send(1, 500, 1200)
		flow.send(1201, 500, 1200)
		assert.Assert(t, lastActivity(flow).IsZero(), "data of the initial window, which needs no acknowledgement, counted as activity")
		flow.now = flow.now.Add(minRetransmitDelay)
		flow.send(2401, 500, 1200)
		assert.Assert(t, lastActivity(flow).Equal(flow.now))
	})
	t.Run("retransmission is not activity", func(t *testing.T) {
		flow := newExchange(t)
		flow.send(1, 500, 100)
		flow.now = flow.now.Add(time.Second)
		flow.send(1, 500, 100)
		assert.Assert(t, lastActivity(flow).IsZero())
	})
}

func TestPendingRequestsOfDeadTargetAreTakenOnce(t *testing.T) {
	flow := newExchange(t)
	flow.send(1, 500, 100)
	assert.Equal(t, len(flow.requests.TakePending(func(target uint64) bool { return target == 999 })), 0)
	waiting := flow.requests.TakePending(func(target uint64) bool { return target == 100 })
	assert.Equal(t, len(waiting), 1)
	assert.Equal(t, waiting[0].Source, caller(0))
	assert.Equal(t, waiting[0].Destination, rosterAddress)
	assert.Equal(t, waiting[0].Acknowledgement, uint32(500))
	assert.Equal(t, len(flow.requests.TakePending(func(target uint64) bool { return target == 100 })), 0)
	assert.Equal(t, flow.requests.Len(), 0)
}

func TestZoneSubject(t *testing.T) {
	site := newZonedSite(t)
	zone := liveness.Subject{Zone: "b"}
	assert.Assert(t, site.table.IsKnown(zone) && !site.table.IsKnown(liveness.Subject{Zone: "nowhere"}))
	assert.DeepEqual(t, site.table.ServicesOf(zone), map[string]int{"roster": 2})
	assert.Equal(t, len(site.table.TargetsToProbe(zone, 1)), 1)
	site.table.targetByIdentifier(104).Signal.RecordActivity(site.now)
	assert.Assert(t, site.table.LastActivity(zone).Equal(site.now))
	assert.DeepEqual(t, site.table.TargetsToProbe(zone, 2), []uint64{104, 101})
}

// BenchmarkZoneLastActivity looks up the last activity of one of 23 zones with 15,000 targets in all.
func BenchmarkZoneLastActivity(b *testing.B) {
	table := &Table{index: newIndex(0)}
	for number := range 15_000 {
		described := &storeview.KnownTarget{Record: storeview.Record{Key: fmt.Sprint(number)}, Target: storeview.Target{Identifier: uint64(number), Zone: fmt.Sprint(number % 23)}}
		target := &Target{KnownTarget: described, Token: Of(uint64(number)), Signal: &balance.Signal{}}
		table.index.add(target)
	}
	for b.Loop() {
		table.LastActivity(liveness.Subject{Zone: "7"})
	}
}
