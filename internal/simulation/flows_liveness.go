package simulation

import (
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/steering/token"
)

// NotificationMode selects when callers of a dead target are notified.
type NotificationMode uint8

// Times of notification. Daemons use NotifyAtVerdict.
const (
	// NotifyAtVerdict resets all flows that a daemon knows when it finds their target dead, and other
	// flows on their next packet.
	NotifyAtVerdict NotificationMode = iota
	// NotifyIfPending resets flows with a pending request, and other flows on their next packet.
	NotifyIfPending
	// NotifyAtNextPacket resets flows on their next packet.
	NotifyAtNextPacket
	// NotifyNever resets nothing; callers run into their timeouts.
	NotifyNever
)

// livenessDirectory implements liveness.Directory for a daemon.
type livenessDirectory struct {
	*flowDirectory
	path *dataPath
}

// ExpectedRate returns the expected rate of responses, each of which counts as activity.
func (d livenessDirectory) ExpectedRate(subject liveness.Subject) float64 {
	rate := 0.0
	for service, targets := range d.ServicesOf(subject) {
		rate += float64(targets) * d.flowDirectory.ExpectedRate(service)
	}
	return rate
}

// LastResponse implements liveness.Directory.
func (d livenessDirectory) LastResponse() time.Time { return d.path.lastAnswered }

func (m *FlowModel) livenessDirectory(path *dataPath) livenessDirectory {
	return livenessDirectory{m.directory(path), path}
}

func (m *FlowModel) tickLiveness(index int, path *dataPath) {
	now, targets := m.Clock.Now(), m.livenessDirectory(path)
	for _, data := range path.requests.TakeUnacknowledged() {
		path.livenessDetector.Observe(now, targets, data.Target, data.Flow, data.Since)
	}
	m.applyLivenessOutput(index, path, path.livenessDetector.Tick(now, targets))
}

func (m *FlowModel) receiveLivenessReports(index int, reports []liveness.Received) {
	if path := m.path(index); path != nil {
		m.applyLivenessOutput(index, path, path.livenessDetector.HandleReports(m.Clock.Now(), m.livenessDirectory(path), reports))
	}
}

func (m *FlowModel) applyLivenessOutput(index int, path *dataPath, output liveness.Output) {
	for _, verdict := range output.Dead {
		m.noteVerdict(verdict.Subject.Target)
		path.table.SetDead(verdict.Subject.Target, verdict.Until, verdict.Until)
		if m.Notification > NotifyIfPending {
			continue
		}
		isDead := func(target uint64) bool { return path.table.IsDead(m.Clock.Now(), target) }
		for _, waiting := range path.requests.TakePending(isDead) {
			m.reset(waiting.Source, waiting.Token)
		}
	}
	m.resetIdle(path)
	for _, target := range output.Alive {
		path.table.SetAlive(target)
	}
	for _, probe := range output.Probes {
		m.probe(index, probe)
	}
	if m.SuppressRefutations {
		output.Reports = slices.DeleteFunc(output.Reports, func(report liveness.Outgoing) bool { return report.Kind == liveness.Alive })
	}
	for _, datagram := range m.Daemons[index].Core.LivenessDatagrams(output.Reports) {
		m.FollowedFleet.send(index, datagram)
	}
}

// resetIdle resets the idle flows to dead targets that a daemon knows.
func (m *FlowModel) resetIdle(path *dataPath) {
	if m.Notification != NotifyAtVerdict {
		return
	}
	isDead := func(target uint32) bool { return m.shouldResetIdle(path, target) }
	for _, idle := range path.requests.TakeIdle(isDead, flowTableSize) {
		m.IdleResets++
		m.reset(idle.Source, idle.Token)
	}
}

// shouldResetIdle reports whether idle flows to a target are to be reset.
func (m *FlowModel) shouldResetIdle(path *dataPath, target uint32) bool {
	return m.ResetAllIdle || path.table.IsTokenDead(m.Clock.Now(), target)
}

// notificationBound is the time from the first detection of a dead target until all its idle flows
// are reset. It covers the gossip of the verdict, the daemons' ticks and the resets.
const notificationBound = 300 * time.Millisecond

// noteVerdict records when a target was first declared dead.
func (m *FlowModel) noteVerdict(target uint64) {
	m.Verdicts++
	if _, isKnown := m.declaredDeadAt[target]; !isKnown {
		m.declaredDeadAt[target] = m.Clock.Now()
	}
}

// noteRequest counts a request sent to a dead target on an open flow, which is lost if it can't be
// retried. LostAfterVerdict counts those sent later than notificationBound after the detection.
func (m *FlowModel) noteRequest(flow *Flow) {
	if !flow.Opened || flow.Target.Alive {
		return
	}
	m.LostRequests++
	declaredDeadAt, isKnown := m.declaredDeadAt[flow.Target.Identifier]
	if isKnown && m.Clock.Now().Sub(declaredDeadAt) > notificationBound {
		m.LostAfterVerdict++
	}
}

// probeTimeout is the response timeout of a probe.
const probeTimeout = 150 * time.Millisecond

// earlyProbeTimeout is the response timeout of the first probe.
const earlyProbeTimeout = 50 * time.Millisecond

// probe sends a probe from a daemon to a target. Lost packets aren't retransmitted before the
// timeout.
func (m *FlowModel) probe(index int, probe liveness.Probe) {
	generation := m.Daemons[index].generation
	hasAnswered := false
	for _, target := range m.targets {
		isCut := m.IsCutOff != nil && m.IsCutOff(index, target)
		if target.Identifier == probe.Target && target.Alive && !m.PausedTargets[target] && !isCut && !m.isLost(index) && !m.isLost(index) && !m.SuppressRefutations {
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
			path.livenessDetector.HandleProbeResult(m.Clock.Now(), probe, hasAnswered)
			m.tickLiveness(index, path)
		}
	})
}

// reset delivers a reset to the caller of a flow.
func (m *FlowModel) reset(caller netip.AddrPort, value uint32) {
	m.Clock.After(m.delay(), func() {
		flow := m.flows[caller]
		if flow != nil && flow.Target != nil && token.Of(flow.Target.Identifier) == value {
			m.handleReset(flow, token.ReasonDeadTarget)
		}
	})
}
