//go:build e2e

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/lab"
	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/settings"
)

// buildDaemon builds passtrayd once for a test.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "passtrayd")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/passtrayd").CombinedOutput()
	assert.NilError(t, err, string(output))
	return path
}

// process is a daemon that is a process.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	metrics string
}

// startProcesses returns what starts daemons as processes, each with its own
// settings file and log.
func startProcesses(t *testing.T, binary string) lab.StartDaemon {
	directory := t.TempDir()
	return func(name string, given settings.Settings, _ node.Options) (lab.Daemon, error) {
		path := filepath.Join(directory, name+".yaml")
		if err := os.WriteFile(path, settingsFile(t, &given), 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(directory, name+".log"))
		if err != nil {
			return nil, err
		}
		started := &process{t: t, exited: make(chan struct{}), metrics: "http://" + given.Telemetry.String() + "/metrics"}
		started.command = exec.Command(binary, "--settings", path)
		started.command.Stderr = log
		if err := started.command.Start(); err != nil {
			return nil, err
		}
		go func() {
			_ = started.command.Wait()
			_ = log.Close()
			close(started.exited)
		}()
		t.Cleanup(started.Kill)
		return started, nil
	}
}

func settingsFile(t *testing.T, given *settings.Settings) []byte {
	t.Helper()
	var peers []string
	for _, peer := range given.Peers {
		peers = append(peers, peer.String())
	}
	content, err := yaml.Marshal(map[string]any{
		"peers":  peers,
		"region": given.Region, "zone": given.Zone, "control": given.Control.String(),
		"operator": given.Operator.String(), "telemetry": given.Telemetry.String(),
		"data": map[string]any{
			"backend": given.Data.Backend.String(), "fabric": given.Data.Fabric.String(),
			"fabric_egress": given.Data.FabricEgress.String(), "workers": given.Data.Workers,
		},
		"platform": map[string]any{"url": given.Platform.URL, "interval": given.Platform.Interval.String()},
		"tls": map[string]any{
			"authority": given.TLS.Authority, "certificate": given.TLS.Certificate, "key": given.TLS.Key,
		},
		"keyring": given.Keyring, "fleet_key": given.FleetKey,
	})
	assert.NilError(t, err)
	return content
}

// Kill ends the process at once.
func (p *process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Drain asks for a planned stop and waits for the process to end by itself.
func (p *process) Drain(ctx context.Context) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			p.t.Errorf("a planned stop exited with %d", code)
		}
	case <-ctx.Done():
	}
}

// Pause freezes the process.
func (p *process) Pause() (func(), error) {
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	return func() { _ = p.command.Process.Signal(syscall.SIGCONT) }, nil
}

// Stats reads the daemon's metrics.
func (p *process) Stats() node.Stats {
	stats := node.Stats{Actions: map[string]uint64{}, Drops: map[string]uint64{}}
	response, err := (&http.Client{Timeout: time.Second}).Get(p.metrics)
	if err != nil {
		return stats
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	assert.NilError(p.t, err)
	for _, metric := range families["passtray_control_bytes_total"].GetMetric() {
		stats.ControlBytes += uint64(metric.GetCounter().GetValue())
	}
	for _, metric := range families["process_cpu_seconds_total"].GetMetric() {
		stats.CPUSeconds = metric.GetCounter().GetValue()
	}
	for _, metric := range families["process_resident_memory_bytes"].GetMetric() {
		stats.ResidentBytes = metric.GetGauge().GetValue()
	}
	for _, metric := range families["passtray_packets_total"].GetMetric() {
		stats.Actions[metric.GetLabel()[0].GetValue()] += uint64(metric.GetCounter().GetValue())
	}
	for _, metric := range families["passtray_dropped_packets_total"].GetMetric() {
		if value := metric.GetCounter().GetValue(); value > 0 {
			stats.Drops[metric.GetLabel()[0].GetValue()] += uint64(value)
		}
	}
	return stats
}

// play runs a scenario with daemons as processes and demands every invariant.
func play(t *testing.T, scenario *lab.Scenario, faults ...string) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs for many seconds")
	}
	for _, text := range faults {
		fault, err := lab.ParseFault(text)
		assert.NilError(t, err)
		scenario.Faults = append(scenario.Faults, fault)
	}
	assert.NilError(t, scenario.Check())
	result, err := lab.Run(t.Context(), scenario, lab.Options{StartDaemon: startProcesses(t, buildDaemon(t))})
	assert.NilError(t, err)
	_ = result.WriteTable(os.Stderr)
	for _, verdict := range result.Verdicts {
		assert.Assert(t, verdict.Holds(), "%s: %v", verdict.Invariant, verdict.Violations)
	}
	assert.Assert(t, result.Runs.Answered > 0)
}

func scenario(t *testing.T, name string, duration time.Duration) *lab.Scenario {
	t.Helper()
	_, here, _, _ := runtime.Caller(0)
	loaded, err := lab.LoadScenario(filepath.Join(filepath.Dir(here), "..", "examples", name))
	assert.NilError(t, err)
	loaded.Faults = nil
	loaded.Duration = duration
	return loaded
}

func TestProcessesDieJoinAndStop(t *testing.T) {
	play(t, scenario(t, "kol-east.yaml", 16*time.Second), "kill:3s:0", "join:5s", "stop:7s:3", "drain:9s:roster/roster-4", "crash:10s:ledger/ledger-2")
}

func TestAProcessIsFrozenAndWakes(t *testing.T) {
	play(t, scenario(t, "sicilia-ovest.yaml", 20*time.Second), "pause:3s:0", "weight:5s:sala/sala-2", "platform-down:2s", "drain:8s:sala/sala-3")
}

// TestEveryProcessIsReplacedInTurn replaces all six daemons under traffic and
// changes.
func TestEveryProcessIsReplacedInTurn(t *testing.T) {
	var faults []string
	for index := range 6 {
		at := 2 + 5*index
		faults = append(faults,
			fmt.Sprintf("join:%ds", at), fmt.Sprintf("stop:%ds:%d", at+3, index),
			fmt.Sprintf("weight:%ds:roster/roster-%d", at+4, index+1))
	}
	play(t, scenario(t, "kol-east.yaml", 36*time.Second), faults...)
}
