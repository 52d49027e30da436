package storeview

import "time"

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of orders. Their numbers are sent between daemons and must not change.
const (
	// OrderEvacuate stops new flows to the targets of a zone; open flows continue.
	OrderEvacuate OrderKind = 1
)

// String returns the name of the kind for log messages and metrics.
func (k OrderKind) String() string {
	if k == OrderEvacuate {
		return "evacuate"
	}
	return "unknown"
}

// Order is an operator's instruction besides the configuration. It applies from when it is written
// until it is withdrawn.
type Order struct {
	Kind OrderKind `cbor:"1,keyasint"`
	// Zone is the zone that the order applies to.
	Zone string `cbor:"2,keyasint"`
}

// KnownOrder is the latest known state of an order; IsRemoved means withdrawn.
type KnownOrder struct {
	Record
	Order
}

// States of an order.
const (
	StateActive    = "in force"
	StateWithdrawn = "withdrawn"
)

// State returns StateActive or StateWithdrawn.
func (o *KnownOrder) State() string {
	if o.IsRemoved {
		return StateWithdrawn
	}
	return StateActive
}

func (o *KnownOrder) clone() *KnownOrder {
	clone := *o
	return &clone
}

func (o *KnownOrder) supersedes(other *KnownOrder) bool { return o.IsRemoved && !other.IsRemoved }

func (o *KnownOrder) continueFrom(*KnownOrder) {}

func (o *KnownOrder) markLeaving(_, _ time.Time) {}

func (o *KnownOrder) absorb(*KnownOrder) (joined *KnownOrder, isChanged bool) { return o, false }

func (o *KnownOrder) identity() uint64 { return 0 }

func (o *KnownOrder) state() string { return o.State() }

func (o *KnownOrder) toEntry(time.Time) Entry {
	order := o.Order
	return Entry{Order: &order}
}

func (o *KnownOrder) addTo(change *Change, hasNewState bool) {
	if hasNewState {
		change.Orders = append(change.Orders, *o)
	}
}
