package simulation

import (
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/steering/token"
)

// ToldWhen says when callers of a dead target learn of it.
type ToldWhen uint8

// The ways. ToldAtVerdict is the daemon's.
const (
	// ToldAtVerdict resets the flows that wait when the target is held for dead, and
	// others with their next packet.
	ToldAtVerdict ToldWhen = iota
	// ToldAtPacket resets flows with their next packet.
	ToldAtPacket
	// ToldNever leaves callers to their deadlines.
	ToldNever
)

// livesDirectory is what a daemon's detector of dead targets is told.
type livesDirectory struct {
	*flowDirectory
	path *dataPath
}

// ExpectedRate takes each answer for a sign of life.
func (d livesDirectory) ExpectedRate(target uint64) float64 {
	return d.flowDirectory.ExpectedRate(d.ServiceBehind(target))
}

// LastAnswered serves liveness.Directory.
func (d livesDirectory) LastAnswered() time.Time { return d.path.lastAnswered }

func (m *FlowModel) livesDirectory(path *dataPath) livesDirectory {
	return livesDirectory{m.directory(path), path}
}

func (m *FlowModel) watchLives(index int, path *dataPath) {
	now, targets := m.Clock.Now(), m.livesDirectory(path)
	for _, data := range path.requests.TakeUnacknowledged() {
		path.lives.Observe(now, targets, data.Target, data.Flow, data.Since)
	}
	m.carryLives(index, path, path.lives.Tick(now, targets))
}

func (m *FlowModel) hearLives(index int, reports []liveness.Received) {
	if path := m.path(index); path != nil {
		m.carryLives(index, path, path.lives.Hear(m.Clock.Now(), m.livesDirectory(path), reports))
	}
}

func (m *FlowModel) carryLives(index int, path *dataPath, output liveness.Output) {
	for _, verdict := range output.Dead {
		m.Verdicts++
		path.table.SetDead(verdict.Target, verdict.Until, verdict.Until)
		if m.Told != ToldAtVerdict {
			continue
		}
		for _, waiting := range path.requests.TakeWaiting(verdict.Target) {
			m.reset(waiting.Source, verdict.Target)
		}
	}
	for _, target := range output.Alive {
		path.table.SetDead(target, time.Unix(0, 0), time.Unix(0, 0))
	}
	for _, target := range output.Probes {
		m.probe(index, target)
	}
	if m.NobodyObjects {
		output.Reports = slices.DeleteFunc(output.Reports, func(report liveness.Outgoing) bool { return report.Kind == liveness.Alive })
	}
	for _, datagram := range m.Daemons[index].Core.TellLiveness(output.Reports) {
		m.FollowedFleet.send(index, datagram)
	}
}

// probeTimeout is how long a target may take to answer a probe.
const probeTimeout = 150 * time.Millisecond

// probe tries to reach a target from a daemon. A packet that is lost is not sent again in
// time.
func (m *FlowModel) probe(index int, identifier uint64) {
	generation := m.Daemons[index].generation
	hasAnswered := false
	for _, target := range m.targets {
		isCut := m.CutFrom != nil && m.CutFrom(index, target)
		if target.Identifier == identifier && target.Alive && !m.Frozen[target] && !isCut && !m.isLost(index) && !m.isLost(index) && !m.NobodyObjects {
			hasAnswered = true
		}
	}
	after := 2 * m.delay()
	if !hasAnswered {
		after = probeTimeout
	}
	m.Clock.After(after, func() {
		if path := m.path(index); path != nil && path.generation == generation {
			path.lives.Probed(m.Clock.Now(), identifier, hasAnswered)
		}
	})
}

// reset carries a reset to the caller of a flow at a target.
func (m *FlowModel) reset(caller netip.AddrPort, target uint64) {
	m.Clock.After(m.delay(), func() {
		flow := m.flows[caller]
		if flow != nil && flow.Target != nil && flow.Target.Identifier == target {
			m.refused(flow, token.ReasonDeadTarget)
		}
	})
}
