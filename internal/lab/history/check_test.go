package history

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(seconds float64, event Event) Event {
	event.At = int64(seconds * float64(time.Second))
	return event
}

// TestEachInvariantCanFail adds to a good history one event that violates exactly one invariant.
func TestEachInvariantCanFail(t *testing.T) {
	good := []Event{
		at(0, Event{Kind: DaemonStarted, Daemon: "d1"}),
		at(0.1, Event{Kind: ConfigurationApplied, Daemon: "d1", Revision: 1}),
		at(1, Event{Kind: ConfigurationAccepted, Revision: 2}),
		at(2, Event{Kind: ConfigurationApplied, Daemon: "d1", Revision: 2}),
		at(2, Event{Kind: ConnectionOpened, Target: "roster-1", Service: "roster"}),
		at(2, Event{Kind: FeedOpened, Request: "feed", Target: "roster-1"}),
		at(3, Event{Kind: RequestRun, Request: "mark", Target: "roster-1", Detail: "1"}),
		at(4, Event{Kind: CallReturned, Request: "mark", Outcome: OutcomeAnswered}),
		at(4, Event{Kind: CallReturned, Request: "other", Outcome: OutcomeNotRun, Detail: "1"}),
		at(5, Event{Kind: TargetDrained, Target: "roster-1"}),
		at(6, Event{Kind: ConnectionOpened, Target: "roster-1"}),
		at(20, Event{Kind: RunEnded}),
	}
	for _, verdict := range Check(good) {
		assert.Assert(t, verdict.Holds(), "%s: %v", verdict.Invariant, verdict.Violations)
		assert.Assert(t, verdict.Checked > 0, "%s was not exercised", verdict.Invariant)
	}
	for invariant, violation := range map[string]Event{
		FeedsStayConnected:              at(7, Event{Kind: FeedBroken, Request: "feed", Target: "roster-1"}),
		NoForeignPackets:                at(7, Event{Kind: ForeignPacketReceived, Service: "ledger", Target: "roster-1"}),
		ResponsesMatchRequests:          at(7, Event{Kind: CallReturned, Request: "mark", Outcome: OutcomeWrong}),
		NotRunIsAccurate:                at(7, Event{Kind: RequestRun, Request: "other", Target: "roster-1", Detail: "1"}),
		AtMostOnce:                      at(7, Event{Kind: RequestRun, Request: "mark", Target: "roster-2", Detail: "2"}),
		DrainingTargetGetsNoConnections: at(10.5, Event{Kind: ConnectionOpened, Target: "roster-1"}),
		DrainingTargetFinishesRequests:  at(7, Event{Kind: ResponseFailed, Request: "mark", Target: "roster-1"}),
		ConfigurationBecomesActive:      at(7, Event{Kind: ConfigurationApplied, Daemon: "d1", Revision: 1}),
	} {
		for _, verdict := range Check(append(good[:len(good):len(good)], violation)) {
			assert.Equal(t, verdict.Holds(), verdict.Invariant != invariant, "verdict of %q when violating %q: %v", verdict.Invariant, invariant, verdict.Violations)
		}
	}
}

func TestLateConfigurationIsDetected(t *testing.T) {
	verdict := checkConfiguration([]Event{
		at(0, Event{Kind: DaemonStarted, Daemon: "d1"}),
		at(1, Event{Kind: ConfigurationAccepted, Revision: 2}),
		at(6.5, Event{Kind: ConfigurationApplied, Daemon: "d1", Revision: 2}),
		at(20, Event{Kind: RunEnded}),
	})
	assert.Equal(t, verdict.Total, 1)
}

func TestSaveAndLoadRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.cbor")
	log := NewLog()
	log.Add(Event{Kind: FeedOpened, Request: "feed", Target: "roster-1"})
	assert.NilError(t, Save(path, log.Events()))
	loaded, err := Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, log.Events())
}
