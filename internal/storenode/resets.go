package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	messageIdleReset = "idle flows reset"

	// maxIdleResets bounds the resets of idle flows per tick: 5,000 per second of some 60 bytes
	// use a quarter of a 10 Mbit/s link. Flows with waiting callers are reset first and not bounded.
	maxIdleResets = 256
)

// resetWaiting resets the flows whose callers wait for responses of dead targets, and returns their
// number. Only the control loop calls it.
func (p *tokenPlane) resetWaiting(isDead func(target uint64) bool) int {
	p.mutex.Lock()
	waiting := p.requests.TakePending(isDead)
	p.mutex.Unlock()
	p.resetAll(waiting, token.ReasonDeadTarget)
	p.mayHaveIdleResets = true
	return len(waiting)
}

// resetIdle resets idle flows of dead or superseded targets, and returns their number. Callers thus
// learn of it before they send a request that may not be repeated. Flows beyond the bound are left for
// the next call. Only the control loop calls it.
func (p *tokenPlane) resetIdle(now time.Time, table *token.Table) int {
	if !p.mayHaveIdleResets {
		return 0
	}
	p.mutex.Lock()
	idle := p.requests.TakeIdle(func(target uint32) bool { return table.IsTokenDead(now, target) }, maxIdleResets)
	p.mutex.Unlock()
	p.resetAll(idle, token.ReasonDeadTargetIdle)
	p.mayHaveIdleResets = len(idle) == maxIdleResets
	for index := range idle {
		decision := token.Decision{Action: token.Refuse, Reason: token.ReasonDeadTargetIdle, Target: table.TargetByToken(idle[index].Token)}
		p.decisionLog.logDecision(table, &idle[index], &decision, p.confirmedUntil.Load())
	}
	return len(idle)
}

func (p *tokenPlane) resetAll(packets []token.Packet, reason token.Reason) {
	for index := range packets {
		p.sendReset(p.releaseWorker, &packets[index], reason, p.codec.Reset(&packets[index]))
	}
	p.releaseWorker.Flush()
}

// setIdleTimeout sets after how long without packets a flow may be forgotten.
func (p *tokenPlane) setIdleTimeout(timeout time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests.SetIdle(timeout)
}

// trackedFlows returns the number and size of the open flows tracked.
func (p *tokenPlane) trackedFlows() token.TrackedFlows {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.requests.TrackedFlows()
}

// resetIdle resets idle flows of dead or superseded targets and logs their number.
func (n *Node) resetIdle(now time.Time, table *token.Table) {
	if reset := n.plane.resetIdle(now, table); reset > 0 {
		n.counters().idleResets.Add(uint64(reset))
		n.log.Info(messageIdleReset, telemetry.FieldCount, reset)
	}
}

// resolveContested decides which target runs at an address that several claim, and resets the flows of
// those that have ended. Right after a pause of the process, responses may still wait in the socket.
func (n *Node) resolveContested(now time.Time) {
	table := n.plane.table.Load()
	if table == nil || n.PausedFor(now) > 0 {
		return
	}
	hasNew := false
	n.plane.withLock(func() { hasNew = table.ResolveContested() })
	n.handleSuccessions(table)
	if hasNew {
		n.plane.mayHaveIdleResets = true
		n.resetIdle(now, table)
	}
}
