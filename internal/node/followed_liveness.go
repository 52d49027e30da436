package node

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
	messageDead  = "target held for dead"
	messageAlive = "target alive after all"

	// probeTimeout is how long a target may take to answer a probe. It is the time that
	// other daemons have to object, and many round trips.
	probeTimeout = 150 * time.Millisecond
	// deadProbation is how long after a verdict has run out a target's share of new flows
	// grows back, the same as after an ejection.
	deadProbation = 10 * time.Second
)

// livenessDirectory is what the detector of dead targets is told.
type livenessDirectory struct{ *directory }

// ExpectedRate takes each answer for a sign of life.
func (d livenessDirectory) ExpectedRate(target uint64) float64 {
	return d.directory.ExpectedRate(d.ServiceBehind(target))
}

// LastAnswered serves liveness.Directory.
func (d livenessDirectory) LastAnswered() time.Time { return time.Unix(0, d.plane.lastAnswered.Load()) }

func (n *Followed) livenessDirectory(now time.Time, table *token.Table) livenessDirectory {
	return livenessDirectory{n.directory(now, table)}
}

// watchLives takes what callers sent again to the detector of dead targets.
func (n *Followed) watchLives(now time.Time, table *token.Table) {
	targets := n.livenessDirectory(now, table)
	for _, data := range n.plane.unacknowledged() {
		n.lives.Observe(now, targets, data.Target, data.Flow, data.Since)
	}
	n.carryLives(table, n.lives.Tick(now, targets))
}

// hearLives takes in what other daemons say of targets' lives.
func (n *Followed) hearLives(now time.Time, reports []liveness.Received) {
	if table := n.plane.table.Load(); table != nil && len(reports) > 0 {
		n.carryLives(table, n.lives.Hear(now, n.livenessDirectory(now, table), reports))
	}
}

// carryLives puts verdicts into force: flows of a dead target are reset at once, those
// that wait now and others with their next packet.
func (n *Followed) carryLives(table *token.Table, output liveness.Output) {
	for _, verdict := range output.Dead {
		table.SetDead(verdict.Target, verdict.Until, verdict.Until.Add(deadProbation))
		reset := n.plane.resetWaiting(verdict.Target)
		n.counters().dead.Add(1)
		n.log.Info(messageDead,
			telemetry.FieldTarget, strconv.FormatUint(verdict.Target, 16),
			telemetry.FieldSpan, verdict.Silence.String(),
			telemetry.FieldReporters, verdict.Reporters,
			telemetry.FieldEvidence, verdict.Sends,
			telemetry.FieldCount, reset,
		)
	}
	for _, target := range output.Alive {
		table.SetDead(target, time.Unix(0, 0), time.Unix(0, 0))
		n.counters().revived.Add(1)
		n.log.Info(messageAlive, telemetry.FieldTarget, strconv.FormatUint(target, 16))
	}
	n.link.send(n.fleet.TellLiveness(output.Reports))
	for _, target := range output.Probes {
		if address, found := table.AddressOf(target); found {
			n.waiting.Add(1)
			go n.probe(target, address)
		}
	}
}

// probe asks whether a target accepts connections. It sends nothing on them.
func (n *Followed) probe(target uint64, address netip.AddrPort) {
	defer n.waiting.Done()
	hasAnswered := n.reaches(address)
	n.enqueue(func(now time.Time) { n.lives.Probed(now, target, hasAnswered) })
}

func (n *Followed) reaches(address netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(n.ctx, "tcp", address.String())
	if err != nil {
		return false // dead or cut off: which of both does not matter here
	}
	_ = connection.Close()
	return true
}
