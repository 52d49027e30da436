package storelab

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	testBounds = Bounds{Converge: 5 * time.Second, Drain: 5 * time.Second, Settle: 5 * time.Second, Response: 2 * time.Second, Recover: 5 * time.Second}
	testRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	testFlow   = Flow{Caller: netip.MustParseAddrPort("127.0.3.1:4000"), Route: testRoute}
)

// goodRun returns a run without violations: a flow opens at target 1, which ends at 20 s; the
// route moves from a to b at 30 s, and target 2 of b begins to drain at 40 s.
func goodRun() []Event {
	other := Flow{Caller: netip.MustParseAddrPort("127.0.3.2:4000"), Route: testRoute}
	return []Event{
		{At: 0, Kind: RouteAllowed, Flow: Flow{Route: testRoute}, Service: "a"},
		{At: 1 * time.Second, Kind: FaultStarted, Duration: time.Second, Detail: "a daemon was killed"},
		{At: 10 * time.Second, Kind: OpeningAccepted, Flow: testFlow, Target: 1, Service: "a"},
		{At: 11 * time.Second, Kind: FlowOpened, Flow: testFlow, Target: 1, Service: "a"},
		{At: 12 * time.Second, Kind: RequestSent, Flow: testFlow, Request: 7},
		{At: 13 * time.Second, Kind: RequestRan, Request: 7, Target: 1},
		{At: 14 * time.Second, Kind: RequestAnswered, Flow: testFlow, Request: 7, Target: 1},
		{At: 20 * time.Second, Kind: TargetEnded, Target: 1},
		{At: 21 * time.Second, Kind: FlowReset, Flow: testFlow},
		{At: 30 * time.Second, Kind: RouteForbidden, Flow: Flow{Route: testRoute}, Service: "a"},
		{At: 30 * time.Second, Kind: RouteAllowed, Flow: Flow{Route: testRoute}, Service: "b"},
		{At: 34 * time.Second, Kind: OpeningAccepted, Flow: other, Target: 3, Service: "a"},
		{At: 40 * time.Second, Kind: TargetDraining, Target: 2},
		{At: 44 * time.Second, Kind: OpeningAccepted, Flow: other, Target: 2, Service: "b"},
		{At: 45 * time.Second, Kind: DaemonSignalled, Detail: "daemon-1"},
	}
}

func violatedInvariants(t *testing.T, events []Event) []string {
	t.Helper()
	var names []string
	for _, verdict := range Check(testBounds, events) {
		if len(verdict.Violations) > 0 {
			names = append(names, verdict.Invariant)
		}
	}
	return names
}

func TestGoodRunHasNoViolations(t *testing.T) {
	for _, verdict := range Check(testBounds, goodRun()) {
		assert.Equal(t, len(verdict.Violations), 0, "%s: %v", verdict.Invariant, verdict.Violations)
		assert.Assert(t, verdict.Checked > 0, verdict.Invariant)
	}
}

// TestEachViolationIsDetected adds to a good run one event that violates one invariant.
func TestEachViolationIsDetected(t *testing.T) {
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	for name, testCase := range map[string]struct {
		added     Event
		invariant string
	}{
		"flow at a service not allowed": {Event{At: at(50), Kind: OpeningAccepted, Flow: testFlow, Target: 9, Service: "c"}, AllowedServices},
		"flow by an old configuration":  {Event{At: at(50), Kind: OpeningAccepted, Flow: testFlow, Target: 3, Service: "a"}, ConfigurationActiveInTime},
		"flow at a draining target":     {Event{At: at(50), Kind: OpeningAccepted, Flow: testFlow, Target: 2, Service: "b"}, DrainingTargetGetsNoFlows},
		"response on another flow":      {Event{At: at(50), Kind: RequestAnswered, Flow: Flow{Route: testRoute}, Request: 7, Target: 1}, ResponsesMatchRequests},
		"response of another target":    {Event{At: at(50), Kind: RequestAnswered, Flow: testFlow, Request: 7, Target: 2}, ResponsesMatchRequests},
		"request ran twice":             {Event{At: at(50), Kind: RequestRan, Request: 7, Target: 2}, AtMostOnce},
		"request was not sent":          {Event{At: at(50), Kind: RequestRan, Request: 8, Target: 2}, AtMostOnce},
		"unexpected daemon exit":        {Event{At: at(50), Kind: DaemonExited, Detail: "daemon-1 exited unexpectedly: signal: hangup"}, NoUnexpectedExits},
		"request failed after recovery": {Event{At: at(50), Kind: RequestFailed, Request: 7}, RecoversAfterFaults},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, violatedInvariants(t, append(goodRun(), testCase.added)), []string{testCase.invariant})
		})
	}
	t.Run("open flow of a live target stops responding", func(t *testing.T) {
		events := goodRun()
		failed := Event{At: events[7].At - 1, Kind: RequestFailed, Flow: testFlow, Request: 7}
		events = slices.Insert(events, 7, failed)
		assert.DeepEqual(t, violatedInvariants(t, events), []string{OpenFlowsAreAnswered, RecoversAfterFaults})
	})
	t.Run("open flow of a live target is reset", func(t *testing.T) {
		events := goodRun()
		events[8].At, events[8].Kind = events[7].At, FlowReset
		events[7], events[8] = events[8], events[7]
		assert.DeepEqual(t, violatedInvariants(t, events), []string{OpenFlowsAreNotReset})
	})
}

// Flows that were open when their route was dropped may be reset, and so may flows that a daemon
// with an old configuration opened since. A flow that opens after the route is back may not.
func TestFlowsOfDroppedRouteMayBeReset(t *testing.T) {
	events := append(
		goodRun(),
		Event{At: 50 * time.Second, Kind: RouteForbidden, Flow: Flow{Route: testRoute}, Service: "b"},
		Event{At: 51 * time.Second, Kind: FlowOpened, Flow: testFlow, Target: 4, Service: "b"},
		Event{At: 52 * time.Second, Kind: FlowReset, Flow: testFlow},
		Event{At: 53 * time.Second, Kind: RouteAllowed, Flow: Flow{Route: testRoute}, Service: "b"},
		Event{At: 54 * time.Second, Kind: FlowReset, Flow: testFlow},
	)
	assert.Equal(t, len(violatedInvariants(t, events)), 0)
	events = append(
		events,
		Event{At: 55 * time.Second, Kind: FlowOpened, Flow: testFlow, Target: 4, Service: "b"},
		Event{At: 56 * time.Second, Kind: FlowReset, Flow: testFlow},
	)
	assert.DeepEqual(t, violatedInvariants(t, events), []string{OpenFlowsAreNotReset})
}

func TestTimeBoundsApplyOnlyAfterSettling(t *testing.T) {
	events := append(
		goodRun(),
		Event{At: 46 * time.Second, Kind: FaultStarted, Duration: time.Second},
		Event{At: 51 * time.Second, Kind: OpeningAccepted, Flow: testFlow, Target: 2, Service: "b"},
	)
	assert.Equal(t, len(violatedInvariants(t, events)), 0)
}
