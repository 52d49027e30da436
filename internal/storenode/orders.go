package storenode

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/internal/telemetry"
)

// messageOrder is logged when an operator order becomes active or is withdrawn.
const messageOrder = "order changed"

// updateOrders logs changed orders and updates the active ones. The logged age counts from when the
// daemon that read the store learned of the order.
func (n *Node) updateOrders(now time.Time, changed []storeview.KnownOrder) {
	active := n.fleet.View().Orders()
	n.orders.Store(&active)
	for index := range changed {
		order := &changed[index]
		n.log.Info(messageOrder,
			telemetry.FieldOrder, order.Kind.String(),
			telemetry.FieldZone, order.Zone,
			telemetry.FieldState, order.State(),
			telemetry.FieldRevision, storeview.ChangeNumberOf(order.Revision),
			telemetry.FieldAge, now.Sub(order.LearnedAt).String(),
		)
	}
}

func (n *Node) orderStatus(now time.Time) []telemetry.OrderStatus {
	orders := []telemetry.OrderStatus{}
	for _, order := range n.fleet.View().Orders() {
		orders = append(orders, telemetry.OrderStatus{
			Key: order.Key, Kind: order.Kind.String(), Zone: order.Zone, Revision: storeview.ChangeNumberOf(order.Revision),
			AgeMilliseconds: now.Sub(order.LearnedAt).Milliseconds(),
		})
	}
	return orders
}
