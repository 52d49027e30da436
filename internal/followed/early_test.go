package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// foundLong brings a follower on a slow link to where the content was found to be long.
func foundLong(t *testing.T, config Config) (*Follower, Output) {
	t.Helper()
	follower := newTestFollower()
	config.LinkBytes = 10 * megabit
	follower.config = config
	follower.coldBytes = 100 << 10
	list := follower.Tick(testStart).Call
	return follower, follower.Step(testStart, &Answer{Number: list.Number, Outcome: OutcomeTooLong, Bytes: 300 << 10})
}

func TestTargetsAreReadFirstWhereTheContentIsLong(t *testing.T) {
	follower, output := foundLong(t, DefaultConfig())
	early := output.Call
	assert.Assert(t, early != nil && early.Kind == CallList && early.TargetsOnly && early.AllowStale)
	assert.Equal(t, early.MostBytes, DefaultConfig().EarlyBytes)
	assert.Assert(t, follower.IsAwaited(early.Number))
	learned := follower.Step(testStart, answered(early, 30, targetEntry("a", 3), targetEntry("b", 7)))
	assert.Assert(t, learned.Change.Targets && !learned.Change.Configuration)
	assert.Equal(t, follower.View().Present(), 2)
	assert.Equal(t, follower.View().Revision(), uint64(0), "what else there is stays unknown")
	assert.Assert(t, follower.ConfirmedAt().IsZero())
}

func TestWithoutEarlyListsNothingIsKnownUntilTheWholeIs(t *testing.T) {
	config := DefaultConfig()
	config.EarlyBytes = 0
	_, output := foundLong(t, config)
	assert.Assert(t, output.Call == nil)
}

func TestAnEarlyTargetThatTheWholeContentLacksHasGone(t *testing.T) {
	follower, output := foundLong(t, DefaultConfig())
	follower.Step(testStart, answered(output.Call, 30, targetEntry("a", 3), targetEntry("b", 7)))
	follower.Learn(testStart, &Delta{Until: 20, Entries: []Entry{configurationEntry(5, 1), targetEntry("b", 7)}})
	states := map[string]string{}
	for _, target := range follower.View().Targets() {
		states[target.Key] = target.State()
	}
	assert.DeepEqual(t, states, map[string]string{"a": StateGone, "b": StateOpen})
}

func TestAPeersAnswerEndsAnEarlyList(t *testing.T) {
	follower, output := foundLong(t, DefaultConfig())
	follower.Learn(testStart, &Delta{Until: 20, Entries: []Entry{configurationEntry(5, 1)}})
	assert.Assert(t, !follower.IsAwaited(output.Call.Number))
	late := follower.Step(testStart, answered(output.Call, 30, targetEntry("a", 3)))
	assert.Assert(t, late.Change.IsEmpty())
}

func TestPagesOfAnEarlyListAreReadOn(t *testing.T) {
	follower, output := foundLong(t, DefaultConfig())
	page := answered(output.Call, 30, targetEntry("a", 3))
	page.More = true
	next := follower.Step(testStart, page).Call
	assert.Assert(t, next != nil && next.TargetsOnly)
	assert.Equal(t, next.AfterKey, "a")
}

// TestEarlyListsThatFailAreFew: the store may turn this daemon away.
func TestEarlyListsThatFailAreFew(t *testing.T) {
	for name, outcome := range map[string]Outcome{"failed": OutcomeFailed, "throttled": OutcomeThrottled, "silent": 0} {
		t.Run(name, func(t *testing.T) {
			follower, output := foundLong(t, DefaultConfig())
			calls := 0
			for now, call := testStart, output.Call; now.Before(testStart.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if call != nil && call.TargetsOnly {
					calls++
					if outcome != 0 {
						follower.Step(now, ended(call, outcome))
					}
				}
				call = follower.Tick(now).Call
			}
			assert.Equal(t, calls, mostEarlyTries)
		})
	}
}
