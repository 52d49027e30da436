package lab

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/lab/report"
	"github.com/passtray/passtray/internal/node"
)

// timingIndependent are the invariants whose verdict doesn't depend on the speed of the machine.
var timingIndependent = map[string]bool{
	history.NoForeignPackets: true, history.ResponsesMatchRequests: true, history.NotRunIsAccurate: true,
	history.AtMostOnce: true, history.DrainingTargetFinishesRequests: true, history.FeedsStayConnected: true,
}

func smallScenario(t *testing.T, mode node.SteeringMode) *Scenario {
	t.Helper()
	scenario, err := LoadScenario(filepath.Join("..", "..", "examples", "kol-east.yaml"))
	assert.NilError(t, err)
	scenario.Mode = mode
	scenario.DaemonsPerZone = 1
	scenario.Duration = 5 * time.Second
	scenario.Faults = nil
	scenario.Services[0].Targets = 4
	scenario.Services[0].Feeds = 20
	scenario.Services[0].OncePerSecond = 20
	scenario.Services[1].Targets = 2
	scenario.Services[1].UploadsPerSecond = 4
	return scenario
}

func runSmall(t *testing.T, scenario *Scenario) *report.Report {
	t.Helper()
	path := filepath.Join(t.TempDir(), "history.cbor")
	result, err := Run(t.Context(), scenario, Options{Logger: logr.Discard(), HistoryPath: path})
	assert.NilError(t, err)
	events, err := history.Load(path)
	assert.NilError(t, err)
	offline := history.Check(events)
	for index := range offline {
		assert.Equal(t, offline[index].Total, result.Verdicts[index].Total, "offline check of %s differs", offline[index].Invariant)
	}
	return result
}

func TestKillJoinAndDrainViolateNoInvariant(t *testing.T) {
	scenario := smallScenario(t, node.ModeOwner)
	for _, text := range []string{"kill:1s:1", "join:2s", "drain:3s:roster/roster-2"} {
		fault, err := ParseFault(text)
		assert.NilError(t, err)
		scenario.Faults = append(scenario.Faults, fault)
	}
	result := runSmall(t, scenario)
	for _, verdict := range result.Verdicts {
		if timingIndependent[verdict.Invariant] {
			assert.Assert(t, verdict.Holds(), "%s: %v", verdict.Invariant, verdict.Violations)
		}
	}
	assert.Assert(t, result.Runs.Answered > 0)
	assert.Equal(t, result.FeedsOpened, 20)
	assert.NilError(t, result.WriteHTML(filepath.Join(t.TempDir(), "report.html")))
}

// With random steering, packets also reach targets of other services, which the checks must detect.
func TestRandomSteeringViolatesInvariants(t *testing.T) {
	result := runSmall(t, smallScenario(t, node.ModeRandom))
	assert.Assert(t, !result.Holds(), "random steering violated no invariant")
	assert.Assert(t, result.ForeignPackets > 0)
}

func TestParseFault(t *testing.T) {
	for _, text := range []string{"kill:5s:2", "join:8s", "drain:10s:roster/roster-3", "add:1s:sala", "pause:3s:0"} {
		fault, err := ParseFault(text)
		assert.NilError(t, err)
		assert.Equal(t, fault.String(), text)
	}
	for text, message := range map[string]string{
		"kill":         "must be KIND:TIME",
		"kill:soon:1":  `time "soon"`,
		"kill:1s:one":  `daemon "one" must be a number`,
		"explode:1s:1": `unknown kind "explode"`,
	} {
		_, err := ParseFault(text)
		assert.ErrorContains(t, err, message)
	}
}
