package simulation

import (
	"net/netip"

	"github.com/passtray/passtray/internal/steering/token"
)

// resetDropped carries resets to the callers of flows whose route was dropped, as a daemon
// found confirmed.
func (m *FlowModel) resetDropped(index int, path *dataPath) {
	confirmedAt := m.Daemons[index].Core.ConfirmedAt()
	for _, head := range path.unrouted.TakeDropped(m.Clock.Now(), confirmedAt, path.table) {
		path.requests.NoteDropped(path.table, &head)
		m.Clock.After(m.delay(), func() {
			if flow := m.flows[head.Source]; flow != nil && flow.Route == head.Destination && flow.Token == head.Token {
				m.refused(flow, token.ReasonDroppedRoute)
			}
		})
	}
}

// Stray sends each daemon a packet of no open flow, with a word that no daemon gave at the
// address. None may go on.
func (m *FlowModel) Stray(caller, route netip.AddrPort, word uint32) {
	for index := range m.paths {
		path := m.path(index)
		if path == nil {
			continue
		}
		packet := &token.Packet{Source: caller, Destination: route, Token: word, PayloadLength: 1}
		if decision := m.decide(path, packet); decision.Action == token.Forward {
			m.recordViolation("ROUTE: daemon %d sent a packet to %s with a word of elsewhere to %s", index, route, decision.Target.Service)
		}
	}
}
