package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// leavingBound is how long after a target began to leave it may get new flows.
const leavingBound = 3 * time.Second

// newLeavingSite returns a site without targets of the ledger service, whose view the store has just
// confirmed.
func newLeavingSite(t *testing.T) *site {
	t.Helper()
	site := newSite(t)
	site.opener.SetLeavingBound(leavingBound)
	site.remove("ledger-0")
	site.remove("ledger-1")
	site.now = site.now.Add(time.Minute)
	site.view.SetConfirmedAt(site.now)
	return site
}

// putCold writes an entry of a target of the ledger service in slow start.
func (s *site) putCold(isDraining bool, remaining time.Duration) {
	s.target("cold", 300, "ledger", func(target *storeview.Target) {
		target.Draining, target.SlowStartRemaining = isDraining, remaining
	})
}

// TestGraceOfLeavingTargetIsNotRenewed guards against new flows to a target that began to drain long
// ago, because each change of its entry began the grace period again.
func TestGraceOfLeavingTargetIsNotRenewed(t *testing.T) {
	for name, change := range map[string]func(site *site, left time.Duration){
		"slow start in progress": func(site *site, left time.Duration) { site.putCold(true, left) },
		"entry removed": func(site *site, left time.Duration) {
			if left < 2*time.Second {
				site.remove("cold")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			site := newLeavingSite(t)
			site.putCold(true, 4*time.Second)
			began := site.now
			for left := 3 * time.Second; left > 0; left -= time.Second {
				assert.Equal(t, site.open(ledgerAddress, int(left/time.Second)).Action, Forward)
				site.now = site.now.Add(leavingGrace / 4)
				site.view.SetConfirmedAt(site.now)
				change(site, left)
			}
			site.now = began.Add(leavingGrace)
			assert.Equal(t, site.open(ledgerAddress, 100).Action, Refuse)
		})
	}
}

// TestLateLearnedLeavingTargetGetsNoFlowPastBound guards against adding the grace period to the time
// that it took to learn that a target leaves.
func TestLateLearnedLeavingTargetGetsNoFlowPastBound(t *testing.T) {
	site := newLeavingSite(t)
	site.putCold(false, 0)
	confirmedAt := site.now
	site.now = confirmedAt.Add(2400 * time.Millisecond)
	site.putCold(true, 0)
	opened := site.open(ledgerAddress, 1)
	assert.Equal(t, opened.Action, Forward, "a service whose targets all leave must be served until the bound")

	site.now = confirmedAt.Add(leavingBound - leavingMargin)
	assert.Equal(t, site.open(ledgerAddress, 2).Action, Refuse)
	t.Run("retransmitted first packet", func(t *testing.T) {
		assert.Equal(t, site.open(ledgerAddress, 1).Action, Refuse)
	})
	t.Run("retransmitted first packet of an open flow", func(t *testing.T) {
		site.now = confirmedAt.Add(2500 * time.Millisecond)
		site.open(ledgerAddress, 3)
		assert.Equal(t, site.follow(ledgerAddress, 3, opened.Target.Token).Action, Forward)
		site.now = confirmedAt.Add(leavingBound)
		copied := site.open(ledgerAddress, 3)
		assert.Equal(t, copied.Action, Drop, "a reset would end the flow")
		assert.Equal(t, copied.Reason, ReasonLeavingTarget)
	})
}

// TestPeersTellWhenTargetBeganToLeave guards against a grace period that begins again at each daemon
// that learns of a leaving target from a peer.
func TestPeersTellWhenTargetBeganToLeave(t *testing.T) {
	site := newLeavingSite(t)
	site.putCold(true, 4*time.Second)
	site.now = site.now.Add(time.Second)
	site.putCold(true, 3*time.Second)

	started := newSite(t)
	started.opener.SetLeavingBound(leavingBound)
	started.view, started.builder = storeview.New(time.Minute), NewBuilder(time.Minute)
	started.now = site.now
	change := started.view.MergeSnapshot(site.now, site.view.EntriesSince(site.now, 0, storeview.Held{}), site.revision)
	started.table = started.builder.Update(started.now, started.view, &change)
	assert.Equal(t, started.open(ledgerAddress, 1).Action, Forward)
	started.now = started.now.Add(leavingGrace - time.Second)
	assert.Equal(t, started.open(ledgerAddress, 2).Action, Refuse)
}

// TestTargetThatComesBackLeavesAnew checks that an entry that expired and came back, as after an outage
// of the store, does not shorten the grace period of a later departure.
func TestTargetThatComesBackLeavesAnew(t *testing.T) {
	site := newLeavingSite(t)
	site.putCold(false, 0)
	site.remove("cold")
	site.now = site.now.Add(10 * time.Second)
	site.putCold(false, 0)
	assert.Equal(t, site.open(ledgerAddress, 1).Action, Forward)
	site.view.SetConfirmedAt(site.now)
	site.putCold(true, 0)
	assert.Equal(t, site.open(ledgerAddress, 2).Action, Forward)
	site.now = site.now.Add(leavingGrace)
	assert.Equal(t, site.open(ledgerAddress, 3).Action, Refuse)
}
