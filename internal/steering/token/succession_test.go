package token

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// rewrite writes an entry of a target at roster-0's address, while the store is followed without delay.
func (s *site) rewrite(key string, identifier, sequence uint64) {
	s.view.SetConfirmedAt(s.now)
	s.target(key, identifier, "roster", func(target *storeview.Target) {
		atRoster0Address(target)
		target.Sequence = sequence
	})
}

// newSuccession returns a site on which target 300 took over the address of target 100 long after
// that one had started.
func newSuccession(t *testing.T) *site {
	t.Helper()
	site := newSite(t)
	site.now = site.now.Add(time.Minute)
	site.rewrite("new", 300, 1)
	return site
}

func (s *site) assertRuns(t *testing.T, running, ended uint64) {
	t.Helper()
	assert.Equal(t, s.follow(rosterAddress, 1, Of(running)).Action, Forward, "flow of the running target refused")
	assert.Equal(t, s.follow(rosterAddress, 1, Of(ended)).Action, Refuse, "flow of the ended target not refused")
	for number := range 100 {
		assert.Assert(t, s.open(rosterAddress, 10+number).Target.Identifier != ended, "new flow sent to the ended target")
	}
}

// TestDelayedWriteOfEndedTargetResetsNoFlow guards against taking the target that runs at an address
// for ended after the store applied a write of its predecessor late.
func TestDelayedWriteOfEndedTargetResetsNoFlow(t *testing.T) {
	t.Run("after its entry expired", func(t *testing.T) {
		site := newSuccession(t)
		site.remove("roster-0")
		site.now = site.now.Add(3 * time.Second)
		site.rewrite("roster-0", 100, 37)
		site.assertRuns(t, 300, 100)
	})
	t.Run("before its entry expires", func(t *testing.T) {
		site := newSuccession(t)
		site.target("roster-0", 100, "roster", func(target *storeview.Target) {
			atRoster0Address(target)
			target.Sequence, target.SlowStartRemaining = 3, time.Second
		})
		site.assertRuns(t, 300, 100)
	})
	t.Run("after the running target left the store", func(t *testing.T) {
		site := newSuccession(t)
		site.remove("roster-0")
		site.rewrite("roster-0", 100, 37)
		site.remove("new")
		assert.Equal(t, site.follow(rosterAddress, 1, Of(300)).Action, Forward)
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Refuse)
	})
	t.Run("of which nothing was seen before", func(t *testing.T) {
		site := newSite(t)
		site.now = site.now.Add(time.Minute)
		site.rewrite("late", 300, 37)
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
	})
	t.Run("which was its first, after the running target's", func(t *testing.T) {
		site := newSite(t)
		site.now = site.now.Add(4 * time.Second)
		site.rewrite("late", 300, 1)
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
	})
}

// TestRestartedDaemonResetsNoFlow guards against a different answer of a daemon that started after
// the predecessor's entry had expired.
func TestRestartedDaemonResetsNoFlow(t *testing.T) {
	site := newSuccession(t)
	site.remove("roster-0")
	started := newSite(t)
	started.view, started.builder = storeview.New(time.Minute), NewBuilder(time.Minute)
	change := started.view.MergeSnapshot(site.now, site.view.EntriesSince(site.now, 0, storeview.Held{}), site.revision)
	started.now, started.revision = site.now, site.revision
	started.table = started.builder.Update(started.now, started.view, &change)
	started.rewrite("roster-0", 100, 1)
	started.assertRuns(t, 300, 100)
}

// TestLapsedEntryIsNoSuccession guards against taking a target that runs for ended because its entry
// lapsed, while the store holds that of a target which crashed before at its address and whose writes
// it applied late.
func TestLapsedEntryIsNoSuccession(t *testing.T) {
	lapse := func(t *testing.T, sequence uint64) *site {
		t.Helper()
		site := newSite(t)
		site.now = site.now.Add(2 * time.Second)
		site.rewrite("late", 300, sequence)
		site.now = site.now.Add(2 * time.Second)
		site.remove("roster-0")
		return site
	}
	for _, sequence := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("late write %d", sequence), func(t *testing.T) {
			site := lapse(t, sequence)
			assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
			assert.Assert(t, !site.table.ResolveContested())
			site.remove("late")
			site.rewrite("roster-0", 100, 9)
			assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
		})
	}
	t.Run("until the other one responds", func(t *testing.T) {
		site := lapse(t, 1)
		site.table.targetByIdentifier(300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		site.assertRuns(t, 300, 100)
	})
}

// TestResponsesShowWhichTargetRuns checks the decision between two targets that claim an address.
func TestResponsesShowWhichTargetRuns(t *testing.T) {
	newContest := func(t *testing.T) *site {
		t.Helper()
		site := newSite(t)
		site.now = site.now.Add(4 * time.Second)
		site.rewrite("new", 300, 1)
		site.now = site.now.Add(100 * time.Millisecond)
		return site
	}
	signal := func(site *site, identifier uint64) *Target { return site.table.targetByIdentifier(identifier) }
	t.Run("the new one responds", func(t *testing.T) {
		site := newContest(t)
		signal(site, 300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		site.assertRuns(t, 300, 100)
	})
	t.Run("the old one responds", func(t *testing.T) {
		site := newContest(t)
		signal(site, 100).Signal.RecordActivity(site.now)
		signal(site, 100).Signal.AddPending(1)
		site.now = site.now.Add(time.Second)
		assert.Assert(t, !site.table.ResolveContested())
		for _, identifier := range []uint64{100, 300} {
			assert.Equal(t, site.follow(rosterAddress, 1, Of(identifier)).Action, Forward)
		}
	})
	t.Run("the old one leaves requests unanswered", func(t *testing.T) {
		// Its requests may take long, or be acknowledged through another daemon.
		site := newContest(t)
		signal(site, 100).Signal.AddPending(1)
		for range 60 {
			site.now = site.now.Add(time.Second)
			assert.Assert(t, !site.table.ResolveContested())
			for _, identifier := range []uint64{100, 300} {
				assert.Equal(t, site.follow(rosterAddress, 1, Of(identifier)).Action, Forward)
			}
		}
		signal(site, 300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		site.assertRuns(t, 300, 100)
	})
	t.Run("neither has requests", func(t *testing.T) {
		site := newContest(t)
		site.now = site.now.Add(time.Minute)
		assert.Assert(t, !site.table.ResolveContested())
		for _, identifier := range []uint64{100, 300} {
			assert.Equal(t, site.follow(rosterAddress, 1, Of(identifier)).Action, Forward)
		}
	})
	t.Run("the entry of the new one changes", func(t *testing.T) {
		site := newContest(t)
		signal(site, 300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		site.rewrite("new", 300, 2)
		site.assertRuns(t, 300, 100)
	})
	t.Run("a delayed write of the new one expires", func(t *testing.T) {
		site := newContest(t)
		signal(site, 300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		site.remove("new")
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
	})
}

// TestReportedResponsesShowWhichTargetRuns checks the decision at a daemon that sees no responses of the
// target that runs, while another one does.
func TestReportedResponsesShowWhichTargetRuns(t *testing.T) {
	contest := func(t *testing.T) *site {
		t.Helper()
		site := newSite(t)
		site.rewrite("new", 300, 1)
		site.now = site.now.Add(100 * time.Millisecond)
		return site
	}
	report := func(t *testing.T) storeview.Succession {
		t.Helper()
		observer := contest(t)
		observer.table.targetByIdentifier(300).Signal.RecordActivity(observer.now)
		assert.Assert(t, observer.table.ResolveContested())
		successions := observer.table.TakeSuccessions()
		assert.Equal(t, len(successions), 1)
		reported, ok := successions[0].Report()
		assert.Assert(t, ok)
		return reported
	}
	t.Run("nothing seen here", func(t *testing.T) {
		site := contest(t)
		site.table.NoteSuccessions([]storeview.Succession{report(t)})
		assert.Assert(t, site.table.ResolveContested())
		site.assertRuns(t, 300, 100)
		successions := site.table.TakeSuccessions()
		assert.Equal(t, successions[0].Evidence, EvidenceReport)
		_, ok := successions[0].Report()
		assert.Assert(t, !ok, "reported on")
	})
	t.Run("the old one responds here", func(t *testing.T) {
		site := contest(t)
		site.table.targetByIdentifier(100).Signal.RecordActivity(site.now)
		site.table.NoteSuccessions([]storeview.Succession{report(t)})
		assert.Assert(t, !site.table.ResolveContested())
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
	})
	t.Run("about an earlier incarnation", func(t *testing.T) {
		site := contest(t)
		earlier := report(t)
		earlier.Incarnation = 1
		site.table.NoteSuccessions([]storeview.Succession{earlier})
		assert.Assert(t, !site.table.ResolveContested())
	})
	t.Run("about targets that do not contest the address", func(t *testing.T) {
		site := contest(t)
		site.table.NoteSuccessions([]storeview.Succession{{Ended: 101, Successor: 300}, {Ended: 999, Successor: 100}, {Ended: 100, Successor: 101}})
		assert.Assert(t, !site.table.ResolveContested())
	})
	t.Run("until the entry of the other one expires", func(t *testing.T) {
		site := contest(t)
		site.table.NoteSuccessions([]storeview.Succession{report(t)})
		assert.Assert(t, site.table.ResolveContested())
		site.remove("new")
		assert.Equal(t, site.follow(rosterAddress, 1, Of(100)).Action, Forward)
	})
}

// TestSuccessionsAreReportedWithEvidence checks what is logged of superseded targets.
func TestSuccessionsAreReportedWithEvidence(t *testing.T) {
	take := func(site *site) (found []string) {
		for _, succession := range site.table.TakeSuccessions() {
			by := "nobody"
			if succession.By != nil {
				by = fmt.Sprintf("%d: %s", succession.By.Identifier, succession.Evidence)
			}
			found = append(found, fmt.Sprintf("%d by %s", succession.Target.Identifier, by))
		}
		return found
	}
	t.Run("first write", func(t *testing.T) {
		site := newSuccession(t)
		assert.DeepEqual(t, take(site), []string{"100 by 300: " + EvidenceFirstWrite})
		site.rewrite("roster-0", 100, 37)
		site.rewrite("new", 300, 2)
		assert.Equal(t, len(take(site)), 0, "reported once")
	})
	t.Run("incarnation", func(t *testing.T) {
		site := newSite(t)
		site.target("roster-0", 100, "roster", func(target *storeview.Target) { target.Incarnation = 1 })
		site.target("new", 300, "roster", func(target *storeview.Target) {
			atRoster0Address(target)
			target.Incarnation = 2
		})
		assert.DeepEqual(t, take(site), []string{"100 by 300: " + EvidenceIncarnation})
	})
	t.Run("responses, until the other entry expires", func(t *testing.T) {
		site := newSite(t)
		site.rewrite("new", 300, 1)
		site.now = site.now.Add(100 * time.Millisecond)
		site.table.targetByIdentifier(300).Signal.RecordActivity(site.now)
		assert.Assert(t, site.table.ResolveContested())
		assert.DeepEqual(t, take(site), []string{"100 by 300: " + EvidenceResponses})
		site.remove("new")
		assert.DeepEqual(t, take(site), []string{"100 by nobody"})
	})
}
