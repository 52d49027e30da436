package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/steering/token"
)

// resetUnrouted resets the flows whose route was removed. confirmedAt is when the store last
// confirmed the view. Only the control loop calls it, once the table includes everything confirmed
// by then.
func (p *tokenPlane) resetUnrouted(now, confirmedAt time.Time) {
	table := p.table.Load()
	if table == nil {
		return
	}
	p.mutex.Lock()
	dropped := p.unrouted.TakeDropped(now, confirmedAt, table)
	for index := range dropped {
		p.requests.RecordDropped(table, &dropped[index])
	}
	p.mutex.Unlock()
	decision := token.Decision{Action: token.Refuse, Reason: token.ReasonDroppedRoute}
	for index := range dropped {
		p.decisionLog.logDecision(table, &dropped[index], &decision, p.confirmedUntil.Load())
	}
	p.resetAll(dropped, decision.Reason)
}
