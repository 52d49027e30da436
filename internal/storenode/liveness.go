package storenode

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	messageDead  = "target declared dead"
	messageAlive = "dead target found alive"

	messageSilentZone = "zone declared unresponsive"

	// probeTimeout is how long a target may take to answer a probe: many round trips, and the time
	// that other daemons have to object.
	probeTimeout = 150 * time.Millisecond
	// earlyProbeTimeout is the timeout of the first probe. If it fails, other daemons are queried and
	// the target is probed again.
	earlyProbeTimeout = 50 * time.Millisecond
	// deadProbation is how long a target ramps up to its full share of new flows after its verdict
	// expired, the same as after an ejection.
	deadProbation = 10 * time.Second
)

// livenessDirectory is what the failure detector knows about targets.
type livenessDirectory struct{ *directory }

// ExpectedRate returns the expected responses per second of all targets of a subject; each counts as
// activity.
func (d livenessDirectory) ExpectedRate(subject liveness.Subject) float64 {
	rate := 0.0
	for service, targets := range d.ServicesOf(subject) {
		rate += float64(targets) * d.directory.ExpectedRate(service)
	}
	return rate
}

// LastAnswered implements liveness.Directory.
func (d livenessDirectory) LastAnswered() time.Time { return time.Unix(0, d.plane.lastAnswered.Load()) }

func (n *Node) livenessDirectory(now time.Time, table *token.Table) livenessDirectory {
	return livenessDirectory{n.directory(now, table)}
}

// watchLives reports the retransmissions of callers to the failure detector.
func (n *Node) watchLives(now time.Time, table *token.Table) {
	targets := n.livenessDirectory(now, table)
	for _, data := range n.plane.unacknowledged() {
		n.lives.Observe(now, targets, data.Target, data.Flow, data.Since)
	}
	n.carryLives(now, table, n.lives.Tick(now, targets))
}

// takeLives handles liveness reports of other daemons.
func (n *Node) takeLives(now time.Time, reports []liveness.Received) {
	if table := n.plane.table.Load(); table != nil && len(reports) > 0 {
		n.carryLives(now, table, n.lives.Hear(now, n.livenessDirectory(now, table), reports))
	}
}

// carryLives applies verdicts. Flows of dead targets are reset at once, those with waiting callers
// before idle ones. Flows that were forwarded by other daemons are reset when their next packet
// arrives.
func (n *Node) carryLives(now time.Time, table *token.Table, output liveness.Output) {
	for _, verdict := range output.Dead {
		n.plane.change(func() {
			table.SetDead(verdict.Subject.Target, verdict.Until, verdict.Until.Add(deadProbation))
		})
		reset := n.plane.resetWaiting(func(target uint64) bool { return table.IsDead(now, target) })
		n.counters().dead.Add(1)
		n.log.Info(messageDead,
			telemetry.FieldTarget, strconv.FormatUint(verdict.Subject.Target, 16),
			telemetry.FieldSpan, verdict.Silence.String(),
			telemetry.FieldReporters, verdict.Reporters,
			telemetry.FieldEvidence, verdict.Sends,
			telemetry.FieldCount, reset,
		)
	}
	n.resetResting(now, table)
	for _, target := range output.Alive {
		table.SetAlive(target)
		n.counters().revived.Add(1)
		n.log.Info(messageAlive, telemetry.FieldTarget, strconv.FormatUint(target, 16))
	}
	for _, verdict := range output.Silent {
		n.log.Info(messageSilentZone, telemetry.FieldZone, verdict.Subject.Zone, telemetry.FieldSpan, verdict.Silence.String())
	}
	n.link.send(n.fleet.TellLiveness(output.Reports))
	for _, probe := range output.Probes {
		if address, found := table.AddressOf(probe.Target); found {
			n.Waiting.Add(1)
			go n.probe(probe, address)
		}
	}
}

// probe checks whether a target accepts TCP connections. It sends no data on them.
func (n *Node) probe(probe liveness.Probe, address netip.AddrPort) {
	defer n.Waiting.Done()
	timeout := probeTimeout
	if probe.IsEarly {
		timeout = earlyProbeTimeout
	}
	hasAnswered := n.reaches(address, timeout)
	n.Enqueue(func(now time.Time) {
		n.lives.Probed(now, probe, hasAnswered)
		if table := n.plane.table.Load(); table != nil {
			n.watchLives(now, table) // act on the result without waiting for the next tick
		}
	})
}

func (n *Node) reaches(address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	connection, err := dialer.DialContext(n.Context(), "tcp", address.String())
	if err != nil {
		return false // dead or unreachable
	}
	_ = connection.Close()
	return true
}
