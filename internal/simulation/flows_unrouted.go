package simulation

import (
	"net/netip"

	"github.com/passtray/passtray/internal/steering/token"
)

// resetDropped resets the flows whose route was removed, once the daemon has that confirmed by the
// store.
func (m *FlowModel) resetDropped(index int, path *dataPath) {
	confirmedAt := m.Daemons[index].Core.ConfirmedAt()
	for _, header := range path.unrouted.TakeDropped(m.Clock.Now(), confirmedAt, path.table) {
		path.requests.RecordDropped(path.table, &header)
		m.Clock.After(m.delay(), func() {
			if flow := m.flows[header.Source]; flow != nil && flow.Route == header.Destination && flow.Token == header.Token {
				m.handleReset(flow, token.ReasonDroppedRoute)
			}
		})
	}
}

// SendStray sends each daemon a packet of an unknown flow with a bound token that is not valid at the
// address. No daemon may forward it.
func (m *FlowModel) SendStray(caller, route netip.AddrPort, boundToken uint32) {
	for index := range m.paths {
		path := m.path(index)
		if path == nil {
			continue
		}
		packet := &token.Packet{Source: caller, Destination: route, Token: boundToken, PayloadLength: 1}
		if decision := m.decide(path, packet); decision.Action == token.Forward {
			m.recordViolation("ROUTE: daemon %d forwarded a packet to %s with an invalid token to service %s", index, route, decision.Target.Service)
		}
	}
}
