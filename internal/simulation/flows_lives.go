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
	// ToldAtVerdict resets all flows that a daemon keeps when the target is found dead, and
	// others with their next packet.
	ToldAtVerdict ToldWhen = iota
	// ToldIfWaiting resets those whose callers wait, and others with their next packet.
	ToldIfWaiting
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
func (d livesDirectory) ExpectedRate(subject liveness.Subject) float64 {
	rate := 0.0
	for service, targets := range d.ServicesOf(subject) {
		rate += float64(targets) * d.flowDirectory.ExpectedRate(service)
	}
	return rate
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
		m.noteVerdict(verdict.Subject.Target)
		path.table.SetDead(verdict.Subject.Target, verdict.Until, verdict.Until)
		if m.Told > ToldIfWaiting {
			continue
		}
		isDead := func(target uint64) bool { return path.table.IsDead(m.Clock.Now(), target) }
		for _, waiting := range path.requests.TakeWaiting(isDead) {
			m.reset(waiting.Source, waiting.Token)
		}
	}
	m.resetResting(path)
	for _, target := range output.Alive {
		path.table.SetAlive(target)
	}
	for _, probe := range output.Probes {
		m.probe(index, probe)
	}
	if m.NobodyObjects {
		output.Reports = slices.DeleteFunc(output.Reports, func(report liveness.Outgoing) bool { return report.Kind == liveness.Alive })
	}
	for _, datagram := range m.Daemons[index].Core.TellLiveness(output.Reports) {
		m.FollowedFleet.send(index, datagram)
	}
}

// resetResting resets what a daemon knows to rest at dead targets.
func (m *FlowModel) resetResting(path *dataPath) {
	if m.Told != ToldAtVerdict {
		return
	}
	isDead := func(target uint32) bool { return m.restsAtDead(path, target) }
	for _, resting := range path.requests.TakeResting(isDead, flowPins) {
		m.Resting++
		m.reset(resting.Source, resting.Token)
	}
}

// restsAtDead reports whether flows that rest at a target are to be reset.
func (m *FlowModel) restsAtDead(path *dataPath, target uint32) bool {
	return m.AllRestAtDead || path.table.IsDeadToken(m.Clock.Now(), target)
}

// toldWithin is how long after the first verdict on a target all that rest there have been
// told: the verdict travels to others, their steps and the reset take time.
const toldWithin = 300 * time.Millisecond

// noteVerdict notes since when a target is found dead.
func (m *FlowModel) noteVerdict(target uint64) {
	m.Verdicts++
	if _, isKnown := m.verdictAt[target]; !isKnown {
		m.verdictAt[target] = m.Clock.Now()
	}
}

// noteRequest counts a request that goes to a dead target on an open flow: it is lost where it
// may not be repeated. LostAfter are those that begin when the fleet has known for a while.
func (m *FlowModel) noteRequest(flow *Flow) {
	if !flow.Opened || flow.Target.Alive {
		return
	}
	m.Lost++
	verdictAt, isKnown := m.verdictAt[flow.Target.Identifier]
	if isKnown && m.Clock.Now().Sub(verdictAt) > toldWithin {
		m.LostAfter++
	}
}

// probeTimeout is how long a target may take to answer a probe.
const probeTimeout = 150 * time.Millisecond

// earlyProbeTimeout is how long it may take to answer the first one.
const earlyProbeTimeout = 50 * time.Millisecond

// probe tries to reach a target from a daemon. A packet that is lost is not sent again in
// time.
func (m *FlowModel) probe(index int, probe liveness.Probe) {
	generation := m.Daemons[index].generation
	hasAnswered := false
	for _, target := range m.targets {
		isCut := m.CutFrom != nil && m.CutFrom(index, target)
		if target.Identifier == probe.Target && target.Alive && !m.Frozen[target] && !isCut && !m.isLost(index) && !m.isLost(index) && !m.NobodyObjects {
			hasAnswered = true
		}
	}
	after := 2 * m.delay()
	switch {
	case hasAnswered:
	case probe.IsEarly:
		after = earlyProbeTimeout
	default:
		after = probeTimeout
	}
	m.Clock.After(after, func() {
		if path := m.path(index); path != nil && path.generation == generation {
			path.lives.Probed(m.Clock.Now(), probe, hasAnswered)
			m.watchLives(index, path)
		}
	})
}

// reset carries a reset to the caller of a flow at a target.
func (m *FlowModel) reset(caller netip.AddrPort, value uint32) {
	m.Clock.After(m.delay(), func() {
		flow := m.flows[caller]
		if flow != nil && flow.Target != nil && token.Of(flow.Target.Identifier) == value {
			m.refused(flow, token.ReasonDeadTarget)
		}
	})
}
