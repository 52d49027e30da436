package storenode

import (
	"strconv"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	messageSuperseded    = "target superseded"
	messageNotSuperseded = "target no longer superseded"
)

// noteSuccessions applies what other daemons saw of targets with the same address.
func (n *Node) noteSuccessions(reports []storeview.Succession) {
	if table := n.plane.table.Load(); table != nil && len(reports) > 0 {
		n.plane.withLock(func() { table.NoteSuccessions(reports) })
	}
}

// handleSuccessions logs which targets were superseded since its last call, and by what evidence, and
// tells other daemons of those whose successors were seen to respond.
func (n *Node) handleSuccessions(table *token.Table) {
	var successions []token.Succession
	n.plane.withLock(func() { successions = table.TakeSuccessions() })
	var seen []storeview.Succession
	for index := range successions {
		succession := &successions[index]
		if n.successionLog.Allow(0) {
			n.logSuccession(succession)
		}
		if report, ok := succession.Report(); ok {
			seen = append(seen, report)
		}
	}
	n.fleet.ReportSuccessions(seen)
}

func (n *Node) logSuccession(succession *token.Succession) {
	target := strconv.FormatUint(succession.Target.Identifier, 16)
	address := succession.Target.Address.String()
	if succession.By == nil {
		n.log.Info(messageNotSuperseded, telemetry.FieldTarget, target, telemetry.FieldAddress, address)
		return
	}
	n.log.Info(messageSuperseded,
		telemetry.FieldTarget, target,
		telemetry.FieldAddress, address,
		telemetry.FieldSuccessor, strconv.FormatUint(succession.By.Identifier, 16),
		telemetry.FieldReason, succession.Evidence,
	)
}
