package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	messageRestingReset = "idle flows reset"

	// mostRestingResets bounds the resets of idle flows per tick: 5,000 per second of some 60 bytes
	// use a quarter of a 10 Mbit/s link. Flows with waiting callers are reset first and not bounded.
	mostRestingResets = 256
)

// resetWaiting resets the flows whose callers wait for responses of dead targets, and returns their
// number. Only the control loop calls it.
func (p *tokenPlane) resetWaiting(isDead func(target uint64) bool) int {
	p.mutex.Lock()
	waiting := p.requests.TakeWaiting(isDead)
	p.mutex.Unlock()
	p.resetAll(waiting, token.ReasonDeadTarget)
	p.mayRest = true
	return len(waiting)
}

// resetResting resets idle flows of dead targets, and returns their number. Callers thus learn of it
// before they send a request that may not be repeated. Flows beyond the bound are left for the next
// call. Only the control loop calls it.
func (p *tokenPlane) resetResting(now time.Time, table *token.Table) int {
	if !p.mayRest {
		return 0
	}
	p.mutex.Lock()
	resting := p.requests.TakeResting(func(target uint32) bool { return table.IsDeadToken(now, target) }, mostRestingResets)
	p.mutex.Unlock()
	p.resetAll(resting, token.ReasonAtRest)
	p.mayRest = len(resting) == mostRestingResets
	for index := range resting {
		decision := token.Decision{Action: token.Refuse, Reason: token.ReasonAtRest, Target: table.TargetOf(resting[index].Token)}
		p.explainer.explain(table, &resting[index], &decision, p.confirmedUntil.Load())
	}
	return len(resting)
}

func (p *tokenPlane) resetAll(heads []token.Packet, reason token.Reason) {
	for index := range heads {
		p.sendReset(p.releaser, &heads[index], reason, p.codec.Reset(&heads[index]))
	}
	p.releaser.Flush()
}

// setIdle sets after how long without packets a flow may be forgotten.
func (p *tokenPlane) setIdle(idle time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests.SetIdle(idle)
}

// heldFlows returns the number and size of the open flows tracked.
func (p *tokenPlane) heldFlows() token.HeldFlows {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.requests.HeldFlows()
}

// resetResting resets idle flows of dead targets and logs their number.
func (n *Node) resetResting(now time.Time, table *token.Table) {
	if reset := n.plane.resetResting(now, table); reset > 0 {
		n.counters().resting.Add(uint64(reset))
		n.log.Info(messageRestingReset, telemetry.FieldCount, reset)
	}
}
