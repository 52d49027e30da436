package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/outlier"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/storeview"
)

// preferredAddress and ordinaryAddress are routes to roster with the highest and a lower priority.
var preferredAddress, ordinaryAddress = ledgerAddress, rosterAddress

// newOverloadedSite has a roster service that rejects requests. This daemon's share of its limit is
// one request.
func newOverloadedSite(t *testing.T) *site {
	t.Helper()
	site := newSite(t)
	site.builder = NewBuilder(time.Minute)
	site.builder.SetOverload(overload.DefaultConfig())
	backends := []storeview.Backend{{Service: "roster", Weight: 1}}
	site.configure(
		storeview.Route{Address: preferredAddress, Backends: backends, Priority: 1, Objective: 600 * time.Millisecond},
		storeview.Route{Address: ordinaryAddress, Backends: backends, Priority: 2, Objective: 600 * time.Millisecond},
	)
	site.opener.SetOverloadShares(site.now, site.table, 100)
	load, number := site.table.services["roster"].Load, site.table.routes[ordinaryAddress].Number
	for range 100 {
		load.RecordResponse(site.now, number, 1000)
	}
	for range 100 {
		load.RecordResponse(site.now, number, 100)
	}
	load.AdmitFlow(site.now, overload.Ordinary)
	return site
}

// openRestrained steers a first packet that has been held for the given time.
func (s *site) openRestrained(requests *Requests, number int, waited time.Duration) Decision {
	packet := &Packet{Source: caller(number), Destination: ordinaryAddress, IsOpening: true}
	return requests.HoldIfOverloaded(s.now, s.opener.Open(s.now, s.table, packet), packet, waited)
}

func TestOrdinaryFlowIsHeldThenRefusedUnderOverload(t *testing.T) {
	site, requests := newOverloadedSite(t), NewRequests(16)
	assert.Equal(t, site.openRestrained(requests, 1, 0).Action, Forward)
	site.openRestrained(requests, 2, 0) // one flow is admitted in any case
	held := site.openRestrained(requests, 3, 0)
	assert.Equal(t, held.Action, Hold)
	assert.Equal(t, held.Reason, ReasonOverload)
	assert.Equal(t, held.Reason.String(), "overload")
	refused := site.openRestrained(requests, 3, 100*time.Millisecond)
	assert.Equal(t, refused.Action, Refuse)
	assert.Equal(t, refused.Reason, ReasonOverload)
	assert.Equal(t, site.open(preferredAddress, 4).Action, Forward, "preferred flow not admitted")
}

func TestRequestOnOpenFlowIsHeldThenForwarded(t *testing.T) {
	site, requests := newOverloadedSite(t), NewRequests(16)
	opened := site.open(ordinaryAddress, 1)
	site.open(ordinaryAddress, 2)
	data := &Packet{Source: caller(1), Destination: ordinaryAddress, Token: opened.BoundToken(), PayloadLength: 10}
	followed := site.table.SteerEstablished(site.now, data)
	assert.Equal(t, requests.HoldIfOverloaded(site.now, followed, data, 0).Action, Hold)
	assert.Equal(t, requests.HoldIfOverloaded(site.now, followed, data, time.Second).Action, Forward, "request on an open flow not forwarded after its wait")
	acknowledgement := *data
	acknowledgement.PayloadLength = 0
	assert.Equal(t, requests.HoldIfOverloaded(site.now, followed, &acknowledgement, 0).Action, Forward)
	requests.Record(site.now, &followed, data)
	assert.Equal(t, requests.HoldIfOverloaded(site.now, followed, data, 0).Action, Forward, "data of an admitted request was held")
}

func TestRejectingTargetGetsFewFlows(t *testing.T) {
	site, requests := newOverloadedSite(t), NewRequests(64)
	target := site.openTargets("roster")[0]
	decision := Decision{Action: Forward, Route: site.table.routes[ordinaryAddress], Target: target}
	for range 3 {
		packet := &Packet{Source: caller(1), Destination: ordinaryAddress, PayloadLength: 10}
		requests.Record(site.now, &decision, packet)
		requests.Record(site.now, &decision, &Packet{Source: caller(1), Destination: ordinaryAddress, Acknowledgement: 100})
	}
	counts := map[*Target]int{}
	for number := range 300 {
		if opened := site.open(preferredAddress, 100+number); opened.Action == Forward {
			counts[opened.Target]++
			opened.Target.Load.Established(site.now, overload.Preferred)
			opened.Target.Signal.RecordOpened(site.now)
		}
	}
	assert.Assert(t, counts[target] < 20, "%d of 300, with six targets", counts[target])
}

func TestControllersOfRemovedServicesArePruned(t *testing.T) {
	site := newOverloadedSite(t)
	site.put(storeview.Entry{Key: "config", Configuration: &storeview.Configuration{
		Version: 100, Routes: standardRoutes(), Services: []storeview.Service{{Name: "roster"}, {Name: "ledger"}, {Name: "gone"}},
	}})
	assert.Equal(t, len(site.builder.loads), 3)
	site.put(storeview.Entry{Key: "config", Configuration: &storeview.Configuration{
		Version: 101, Routes: standardRoutes(), Services: []storeview.Service{{Name: "roster"}, {Name: "ledger"}},
	}})
	assert.Equal(t, len(site.builder.loads), 2)
}

// TestWeakEvidenceIsIgnoredUnderOverload guards against ejecting targets because they rejected
// requests in a burst.
func TestWeakEvidenceIsIgnoredUnderOverload(t *testing.T) {
	evidence := func() []FailureEvidence {
		return []FailureEvidence{{Target: 100, Evidence: outlier.Weak}, {Target: 101, Evidence: outlier.Strong}, {Target: 200, Evidence: outlier.Weak}}
	}
	site := newOverloadedSite(t)
	assert.DeepEqual(t, site.table.FilterEvidence(site.now, evidence()), evidence()[1:])
	assert.DeepEqual(t, site.table.FilterEvidence(site.now.Add(time.Minute), evidence()), evidence())
}

// exhaustCapacity occupies all capacity of a decision's service.
func (s *site) exhaustCapacity(decision *Decision) {
	for decision.Target.Load.Admit(s.now, overload.Ordinary) {
		decision.Target.Load.Begin(overload.Ordinary)
	}
}

// TestDelayedAcknowledgementWithHeldRequestIsNoSample covers a response acknowledged only with the
// caller's next request. Its target may have died in between, so it is activity of when the request
// was sent.
func TestDelayedAcknowledgementWithHeldRequestIsNoSample(t *testing.T) {
	site, requests := newOverloadedSite(t), NewRequests(16)
	opened := site.open(ordinaryAddress, 1)
	data := &Packet{Source: caller(1), Destination: ordinaryAddress, Token: opened.BoundToken(), PayloadLength: 10}
	decision := site.table.SteerEstablished(site.now, data)
	const answerLength = 1000
	for range 20 { // collect enough samples
		requests.Record(site.now, &decision, data)
		site.now = site.now.Add(10 * time.Millisecond)
		data.Acknowledgement += answerLength
		requests.Record(site.now, &decision, &Packet{Source: caller(1), Destination: ordinaryAddress, Acknowledgement: data.Acknowledgement})
		site.now = site.now.Add(10 * time.Millisecond)
	}
	requests.TakeLatencySamples()
	requests.Record(site.now, &decision, data)
	sentAt := site.now
	site.now = site.now.Add(500 * time.Millisecond)
	next := *data
	next.Acknowledgement, next.Sequence = data.Acknowledgement+answerLength, 10
	site.exhaustCapacity(&decision)
	held := requests.HoldIfOverloaded(site.now, decision, &next, 0)
	assert.Equal(t, held.Action, Hold)
	_, isAnswer := requests.Record(site.now, &held, &next)
	assert.Assert(t, isAnswer)
	assert.Assert(t, decision.Target.Signal.LastActivity().Equal(sentAt))
	assert.Equal(t, len(requests.TakeLatencySamples()), 0)
	assert.Equal(t, requests.Len(), 0, "held request already tracked")
}

// TestOverloadShareCountsTargetsThatGetFlows guards against a limit too low for the targets that
// receive work.
func TestOverloadShareCountsTargetsThatGetFlows(t *testing.T) {
	bound := func(t *testing.T, site *site) float64 {
		t.Helper()
		site.opener.SetOverloadShares(site.now, site.table, 1)
		bound, isBound := site.table.services["roster"].Load.Limit(site.now)
		assert.Assert(t, isBound)
		return bound
	}
	const all = 24 // six targets of two slots, two requests for each
	t.Run("expired entries count during the expiry window", func(t *testing.T) {
		site := newOverloadedSite(t)
		for _, key := range []string{"roster-0", "roster-1", "roster-2"} {
			site.remove(key)
		}
		site.startExpiryWindow()
		assert.Equal(t, bound(t, site), float64(all))
	})
	t.Run("removed targets don't count", func(t *testing.T) {
		site := newOverloadedSite(t)
		for _, key := range []string{"roster-0", "roster-1", "roster-2"} {
			site.remove(key)
		}
		assert.Equal(t, bound(t, site), float64(all/2))
	})
	t.Run("if all are ejected the ones not dead count", func(t *testing.T) {
		site := newOverloadedSite(t)
		for index, target := range site.openTargets("roster") {
			site.table.Eject(target.Identifier, site.now.Add(time.Second), site.now.Add(time.Second))
			if index == 0 {
				site.table.SetDead(target.Identifier, site.now.Add(time.Second), site.now.Add(time.Second))
			}
		}
		assert.Equal(t, bound(t, site), float64(all*5/6))
	})
}

// TestHeldFlowKeepsItsService guards the weights: a held flow must not be counted twice.
func TestHeldFlowKeepsItsService(t *testing.T) {
	site := newOverloadedSite(t)
	site.configure(storeview.Route{Address: mixedAddress, Priority: 2, Backends: []storeview.Backend{{Service: "roster", Weight: 1}, {Service: "ledger", Weight: 1}}})
	load := site.table.services["roster"].Load
	for range 10 {
		load.Begin(overload.Preferred)
	}
	number, held := 0, Decision{}
	for held.Action != Hold {
		number++
		held = site.open(mixedAddress, number)
	}
	assert.Equal(t, held.Service, "roster")
	for range 10 {
		load.End(overload.Preferred)
	}
	site.now = site.now.Add(150 * time.Millisecond) // the flow admitted in any case has no work in progress
	packet := &Packet{Source: caller(number), Destination: mixedAddress, IsOpening: true, Service: held.Service}
	released := site.opener.Open(site.now, site.table, packet)
	assert.Equal(t, released.Action, Forward)
	assert.Equal(t, released.Target.Service, "roster")
	t.Run("service removed from the weights", func(t *testing.T) {
		site.configure(storeview.Route{Address: mixedAddress, Backends: []storeview.Backend{{Service: "roster"}, {Service: "ledger", Weight: 1}}})
		packet.Source = caller(number + 1)
		assert.Equal(t, site.opener.Open(site.now, site.table, packet).Target.Service, "ledger")
	})
}
