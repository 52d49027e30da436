package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newShrunkenSite has a service with a single target of two slots left.
func newShrunkenSite(t *testing.T) *site {
	t.Helper()
	site := newSite(t)
	for _, key := range []string{"roster-0", "roster-1", "roster-2", "roster-3", "roster-4"} {
		site.remove(key)
	}
	site.now = site.now.Add(time.Minute)
	return site
}

// countAdmitted opens flows until one is not forwarded and returns the number forwarded.
func (s *site) countAdmitted(t *testing.T) int {
	t.Helper()
	for number := range 100 {
		if decision := s.open(rosterAddress, 1000+number); decision.Action != Forward {
			assert.Equal(t, decision.Action, Hold)
			assert.Equal(t, decision.Reason, ReasonAtLimit)
			return number
		}
	}
	return 100
}

func TestFlowsPerTargetAreLimitedBySlots(t *testing.T) {
	t.Run("one daemon sends one flow per slot", func(t *testing.T) {
		site := newShrunkenSite(t)
		site.opener.SetDaemons(1)
		assert.Equal(t, site.countAdmitted(t), 2)
	})
	t.Run("many daemons send at least one each", func(t *testing.T) {
		site := newShrunkenSite(t)
		site.opener.SetDaemons(50)
		assert.Equal(t, site.countAdmitted(t), 1)
	})
	t.Run("no limit", func(t *testing.T) {
		assert.Equal(t, newShrunkenSite(t).countAdmitted(t), 100)
	})
}

// TestPendingRequestOccupiesSlot checks that a pending request occupies a slot until its response
// begins.
func TestPendingRequestOccupiesSlot(t *testing.T) {
	site := newShrunkenSite(t)
	site.opener.SetDaemons(50)
	requests := NewRequests(16)
	opened := site.open(rosterAddress, 1)
	assert.Equal(t, opened.Action, Forward)
	data := &Packet{Source: caller(1), Destination: rosterAddress, Token: opened.BoundToken(), PayloadLength: 100, Acknowledgement: 1}
	followed := site.table.SteerEstablished(site.now, data)
	site.opener.RecordResponse(site.now, &followed, data)
	requests.Record(site.now, &followed, data)
	site.now = site.now.Add(time.Second)
	assert.Equal(t, site.open(rosterAddress, 2).Action, Hold, "request pending for longer than the lifetime of a pick")
	answered := &Packet{Source: caller(1), Destination: rosterAddress, Token: opened.BoundToken(), Acknowledgement: 4001}
	requests.Record(site.now, &followed, answered)
	assert.Equal(t, site.open(rosterAddress, 3).Action, Forward)
}

// TestBackendAtLimitDoesNotSpillOver checks that flows of a backend at its limit don't spill over to others.
func TestBackendAtLimitDoesNotSpillOver(t *testing.T) {
	site := newSite(t)
	site.opener.SetDaemons(50)
	counts := map[string]int{}
	held := 0
	for number := range 200 {
		decision := site.open(mixedAddress, number)
		if decision.Action == Hold {
			held++
			continue
		}
		counts[decision.Target.Service]++
	}
	assert.Assert(t, held > 0)
	assert.Assert(t, counts["ledger"] <= 2, "%v", counts)
}

// TestUntrackedRequestsReleaseTheirSlots guards against leaked slots of requests that were evicted
// from the full table, or whose acknowledgement went through another daemon.
func TestUntrackedRequestsReleaseTheirSlots(t *testing.T) {
	site := newShrunkenSite(t)
	requests := NewRequests(1)
	var decision Decision
	for number := range 3 {
		decision = site.open(rosterAddress, number)
		data := &Packet{Source: caller(number), Destination: rosterAddress, Token: decision.BoundToken(), PayloadLength: 100}
		requests.Record(site.now, &decision, data)
	}
	later := site.now.Add(time.Minute)
	assert.Equal(t, decision.Target.Signal.InProgress(later) > 0.5, true, "tracked request not counted")
	requests.TakeTimedOut(later)
	assert.Assert(t, decision.Target.Signal.InProgress(later) < 0.5, "%v", decision.Target.Signal.InProgress(later))
	assert.Equal(t, decision.Action, Forward)
}
