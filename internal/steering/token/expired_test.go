package token

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// startExpiryWindow simulates that the store has just come back.
func (s *site) startExpiryWindow() {
	s.opener.SetExpiryWindow(storeview.ExpiryWindow{Since: s.now, Until: s.now.Add(2 * time.Second)})
}

// countByTarget opens flows and returns their number by target identifier.
func (s *site) countByTarget(t *testing.T, flows int) map[uint64]int {
	t.Helper()
	counts := map[uint64]int{}
	for number := range flows {
		decision := s.open(rosterAddress, number)
		assert.Equal(t, decision.Action, Forward)
		counts[decision.Target.Identifier]++
	}
	return counts
}

// TestFirstTargetBackAfterOutageIsNotFlooded guards against sending all flows to the first target
// that re-registers after all entries expired in a store outage.
func TestFirstTargetBackAfterOutageIsNotFlooded(t *testing.T) {
	newExpiredSite := func(t *testing.T) *site {
		t.Helper()
		site := newSite(t)
		for _, key := range []string{"roster-0", "roster-1", "roster-2", "roster-3"} {
			site.remove(key)
		}
		site.target("roster-4", 104, "roster", func(target *storeview.Target) { target.Draining = true })
		return site
	}
	t.Run("during the expiry window targets with expired entries get flows", func(t *testing.T) {
		site := newExpiredSite(t)
		site.startExpiryWindow()
		counts := site.countByTarget(t, 100)
		assert.Equal(t, len(counts), 5)
		assert.Equal(t, counts[104], 0, "draining target got flows")
	})
	t.Run("no expiry window", func(t *testing.T) {
		counts := newExpiredSite(t).countByTarget(t, 100)
		assert.Equal(t, counts[105], 100)
	})
	t.Run("after the expiry window", func(t *testing.T) {
		site := newExpiredSite(t)
		site.startExpiryWindow()
		site.now = site.now.Add(2 * time.Second)
		counts := site.countByTarget(t, 100)
		assert.Equal(t, counts[105], 100)
	})
}

// TestPacketsAreHeldWhileTargetsMayBeMissing checks that packets are held, not refused or dropped,
// while targets may be missing from the store.
func TestPacketsAreHeldWhileTargetsMayBeMissing(t *testing.T) {
	site := newSite(t)
	site.remove("ledger-0")
	site.remove("ledger-1")
	site.now = site.now.Add(time.Minute)
	lack := func(decision Decision) Action { return site.opener.HoldIfMissing(site.now, decision).Action }
	unknown := site.follow(rosterAddress, 1, 0xdeadbeef)
	assert.Equal(t, lack(site.open(ledgerAddress, 1)), Refuse)
	assert.Equal(t, lack(unknown), Drop)
	site.startExpiryWindow()
	assert.Equal(t, lack(site.open(ledgerAddress, 2)), Hold)
	assert.Equal(t, lack(unknown), Hold)
	assert.Equal(t, lack(site.follow(ledgerAddress, 1, Of(100))), Forward, "packet for a known target was held")
}
