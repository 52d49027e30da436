package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// If the store's lists and watches permanently contradict each other on its history or epoch, the
// follower must back off.
func TestContradictoryStoreIsPolledWithBackoff(t *testing.T) {
	for name, contradict := range map[string]func(watch *Call) *Answer{
		"history": func(watch *Call) *Answer { return answerWithOutcome(watch, OutcomeHistoryGone) },
		"epoch":   func(watch *Call) *Answer { return inEpoch(1, answered(watch, 3)) },
	} {
		t.Run(name, func(t *testing.T) {
			follower := newTestFollower()
			call := startWatching(t, follower)
			calls := 0
			for now := testStart; now.Before(testStart.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
				var output Output
				switch {
				case call == nil:
					output = follower.Tick(now)
				case call.Kind == CallList:
					output = follower.Step(now, answered(call, 9, configurationEntry(5, 1)))
				default:
					output = follower.Step(now, contradict(call))
				}
				if call = output.Call; call != nil {
					calls++
				}
			}
			assert.Assert(t, calls <= 60, "%d calls in 10 s: expected two per backoff period", calls)
		})
	}
}
