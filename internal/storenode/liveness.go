package storenode

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/monotonic"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	messageDead  = "target declared dead"
	messageAlive = "dead target found alive"

	messageUnresponsiveZone = "zone declared unresponsive"

	// probeTimeout is how long a target may take to answer a probe: many round trips, and the time
	// that other daemons have to refute the suspicion.
	probeTimeout = 150 * time.Millisecond
	// earlyProbeTimeout is the timeout of the first probe. If it fails, the suspicion is broadcast and
	// the target is probed again.
	earlyProbeTimeout = 50 * time.Millisecond
	// deadProbation is how long a target ramps up to its full share of new flows after its verdict
	// expired, the same as after an ejection.
	deadProbation = 10 * time.Second
)

// livenessDirectory is what the failure detector knows about targets.
type livenessDirectory struct{ *outlierDirectory }

// ExpectedRate returns the expected responses per second of all targets of a subject; each counts as
// activity.
func (d livenessDirectory) ExpectedRate(subject liveness.Subject) float64 {
	rate := 0.0
	for service, targets := range d.ServicesOf(subject) {
		rate += float64(targets) * d.outlierDirectory.ExpectedRate(service)
	}
	return rate
}

// LastResponse implements liveness.Directory.
func (d livenessDirectory) LastResponse() time.Time {
	return monotonic.Time(d.plane.lastAnsweredSend.Load())
}

func (n *Node) livenessDirectory(now time.Time, table *token.Table) livenessDirectory {
	return livenessDirectory{n.outlierDirectory(now, table)}
}

// detectFailures reports the retransmissions of callers to the failure detector.
func (n *Node) detectFailures(now time.Time, table *token.Table) {
	targets := n.livenessDirectory(now, table)
	for _, data := range n.plane.retransmissions() {
		n.failureDetector.Observe(now, targets, data.Target, data.Flow, data.Since)
	}
	n.applyVerdicts(now, table, n.failureDetector.Tick(now, targets))
}

// handleLivenessReports handles liveness reports of other daemons.
func (n *Node) handleLivenessReports(now time.Time, reports []liveness.Received) {
	if table := n.plane.table.Load(); table != nil && len(reports) > 0 {
		n.applyVerdicts(now, table, n.failureDetector.HandleReports(now, n.livenessDirectory(now, table), reports))
	}
}

// applyVerdicts applies verdicts. Flows of dead targets are reset at once, those with waiting callers
// before idle ones. Flows that were forwarded by other daemons are reset when their next packet
// arrives.
func (n *Node) applyVerdicts(now time.Time, table *token.Table, output liveness.Output) {
	for _, verdict := range output.Dead {
		n.plane.withLock(func() {
			table.SetDead(verdict.Subject.Target, verdict.Until, verdict.Until.Add(deadProbation))
		})
		reset := n.plane.resetWaiting(func(target uint64) bool { return table.IsDead(now, target) })
		n.counters().dead.Add(1)
		n.log.Info(messageDead,
			telemetry.FieldTarget, strconv.FormatUint(verdict.Subject.Target, 16),
			telemetry.FieldDuration, verdict.Silence.String(),
			telemetry.FieldReporters, verdict.Reporters,
			telemetry.FieldEvidence, verdict.Retransmissions,
			telemetry.FieldCount, reset,
		)
	}
	n.resetIdle(now, table)
	for _, target := range output.Alive {
		table.SetAlive(target)
		n.counters().revived.Add(1)
		n.log.Info(messageAlive, telemetry.FieldTarget, strconv.FormatUint(target, 16))
	}
	for _, verdict := range output.UnresponsiveZones {
		n.log.Info(messageUnresponsiveZone, telemetry.FieldZone, verdict.Subject.Zone, telemetry.FieldDuration, verdict.Silence.String())
	}
	n.link.send(n.fleet.LivenessDatagrams(output.Reports))
	for _, probe := range output.Probes {
		if address, found := table.AddressOf(probe.Target); found {
			n.Goroutines.Add(1)
			go n.probe(probe, address)
		}
	}
}

// probe checks whether a target accepts TCP connections. It sends no data on them.
func (n *Node) probe(probe liveness.Probe, address netip.AddrPort) {
	defer n.Goroutines.Done()
	timeout := probeTimeout
	if probe.IsEarly {
		timeout = earlyProbeTimeout
	}
	hasAnswered := n.isReachable(address, timeout)
	n.Enqueue(func(now time.Time) {
		n.failureDetector.HandleProbeResult(now, probe, hasAnswered)
		if table := n.plane.table.Load(); table != nil {
			n.detectFailures(now, table) // act on the result without waiting for the next tick
		}
	})
}

func (n *Node) isReachable(address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	connection, err := dialer.DialContext(n.Context(), "tcp", address.String())
	if err != nil {
		return false // dead or unreachable
	}
	_ = connection.Close()
	return true
}
