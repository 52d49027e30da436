package followed

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

// newSlowFollower returns a follower with a link of 10 Mbit/s whose peers may supply large
// content.
func newSlowFollower(config Config) *Follower {
	config.LinkBytes = 10 * megabit
	follower := newTestFollower()
	follower.config = config
	follower.maxListBytes = 100 << 10
	return follower
}

func TestTargetsAreListedFirstOnSlowLink(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	first := follower.Tick(testStart).Call
	assert.Assert(t, first.Kind == CallList && first.TargetsOnly && first.AllowStale)
	assert.Equal(t, first.MaxBytes, DefaultConfig().MaxEarlyTargetsBytes)
	learned := follower.Step(testStart, answered(first, 30, targetEntry("a", 3), targetEntry("b", 7)))
	assert.Assert(t, learned.Change.Targets && !learned.Change.Configuration)
	assert.Equal(t, follower.View().PresentTargetCount(), 2)
	assert.Equal(t, follower.View().Revision(), uint64(0), "the rest of the content is still unknown")
	rest := learned.Call
	assert.Assert(t, rest.WithoutTargets && !rest.TargetsOnly)
	assert.Equal(t, rest.AfterKey, "")
	confirm := follower.Step(testStart, answered(rest, 30, configurationEntry(9, 1))).Call
	assert.Equal(t, confirm.Kind, CallWatch)
	assert.Equal(t, confirm.AfterRevision, uint64(7), "the list is only as recent as its first part")
}

func TestFastLinkListsFullContent(t *testing.T) {
	config := DefaultConfig()
	for _, bytes := range []float64{0, 200 * megabit} {
		config.LinkBytes = bytes
		follower := NewFollower(config, newTestFollower().random)
		call := follower.Tick(testStart).Call
		assert.Assert(t, !call.TargetsOnly && !call.WithoutTargets)
	}
}

func TestZeroEarlyBytesDisablesSplitList(t *testing.T) {
	config := DefaultConfig()
	config.MaxEarlyTargetsBytes = 0
	call := newSlowFollower(config).Tick(testStart).Call
	assert.Assert(t, !call.TargetsOnly)
}

// If the rest of the content is large, it is awaited from peers, and the targets are not read
// again.
func TestLargeRestIsAwaitedFromPeers(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	targets := follower.Tick(testStart).Call
	rest := follower.Step(testStart, answered(targets, 30, targetEntry("a", 3))).Call
	output := follower.Step(testStart, &Answer{Number: rest.Number, Outcome: OutcomeTooLarge, Bytes: 240 << 10})
	assert.Assert(t, output.Call == nil)
	delay := follower.config.transferTime(240<<10) + follower.config.StartupSpread.MaxDelay
	again := follower.Tick(testStart.Add(delay)).Call
	assert.Assert(t, again.WithoutTargets && again.MaxBytes == 0)
}

// Too many targets are not read early: 300 starting daemons would saturate the store's link.
func TestTooManyTargetsAreListedWithRest(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	targets := follower.Tick(testStart).Call
	output := follower.Step(testStart, &Answer{Number: targets.Number, Outcome: OutcomeTooLarge, Bytes: 150 << 10})
	assert.Assert(t, output.Call == nil)
	delay := follower.config.transferTime(150<<10) + follower.config.StartupSpread.MaxDelay
	full := follower.Tick(testStart.Add(delay)).Call
	assert.Assert(t, !full.TargetsOnly && !full.WithoutTargets && full.MaxBytes == 0)
}

func TestStoreWithoutTargetsIsListedInFull(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	targets := follower.Tick(testStart).Call
	full := follower.Step(testStart, answered(targets, 30)).Call
	assert.Assert(t, full.Kind == CallList && !full.TargetsOnly && !full.WithoutTargets)
	confirm := follower.Step(testStart, answered(full, 30, configurationEntry(9, 1))).Call
	assert.Equal(t, confirm.AfterRevision, uint64(9))
}

func TestEarlyTargetMissingInPeerSnapshotIsGone(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	targets := follower.Tick(testStart).Call
	rest := follower.Step(testStart, answered(targets, 30, targetEntry("a", 3), targetEntry("b", 7))).Call
	follower.MergeDelta(testStart, &Delta{Until: 20, Entries: []storeview.Entry{configurationEntry(5, 1), targetEntry("b", 7)}})
	states := map[string]string{}
	for _, target := range follower.View().Targets() {
		states[target.Key] = target.State()
	}
	assert.DeepEqual(t, states, map[string]string{"a": storeview.StateGone, "b": storeview.StateOpen})
	assert.Assert(t, !follower.IsPending(rest.Number))
}

func TestSplitListContinuesPages(t *testing.T) {
	follower := newSlowFollower(DefaultConfig())
	page := answered(follower.Tick(testStart).Call, 30, targetEntry("a", 3))
	page.More = true
	second := follower.Step(testStart, page).Call
	assert.Assert(t, second.TargetsOnly)
	assert.Equal(t, second.AfterKey, "a")
	rest := follower.Step(testStart, answered(second, 30, targetEntry("b", 8))).Call
	assert.Assert(t, rest.WithoutTargets)
	confirm := follower.Step(testStart, answered(rest, 30, configurationEntry(9, 1))).Call
	assert.Equal(t, confirm.AfterRevision, uint64(3))
	assert.Equal(t, follower.View().PresentTargetCount(), 2)
}

func TestTargetsAreListedWhenFullContentIsTooLong(t *testing.T) {
	config := DefaultConfig()
	config.LinkBytes = 200 * megabit
	follower := NewFollower(config, newTestFollower().random)
	follower.maxListBytes = 2 << 20
	full := follower.Tick(testStart).Call
	assert.Assert(t, !full.TargetsOnly)
	targets := follower.Step(testStart, &Answer{Number: full.Number, Outcome: OutcomeTooLarge, Bytes: 3 << 20}).Call
	assert.Assert(t, targets != nil && targets.TargetsOnly)
	rest := follower.Step(testStart, answered(targets, 30, targetEntry("a", 3))).Call
	assert.Assert(t, rest.WithoutTargets && rest.MaxBytes == 2<<20)
}
