// Package catalog is the configuration the operators declared, as a
// deterministic state machine: the same changes in the same order give the same
// state on every replica. It holds no clock; a change carries its proposer's
// time.
package catalog

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ServiceNumber identifies a service for ever; it is never used again.
type ServiceNumber uint32

// TargetNumber identifies a target for ever; it is never used again.
type TargetNumber uint32

// Protocol is what a service's callers speak.
type Protocol uint8

// The protocols.
const (
	ProtocolQUIC Protocol = 1
	ProtocolUDP  Protocol = 2
)

// Priority orders new flows under overload, lower first.
type Priority uint8

// The priorities.
const (
	PriorityCritical Priority = 1
	PriorityStandard Priority = 2
	PriorityBulk     Priority = 3
)

// TargetState is a target's place in its life; it only grows.
type TargetState uint8

// The states of a target.
const (
	TargetActive   TargetState = 1
	TargetDraining TargetState = 2
	TargetRetired  TargetState = 3
)

const (
	// DefaultConnectionsPerTarget is the cap where a service states none.
	DefaultConnectionsPerTarget = 2000
	// MaximumWeight is the highest weight of a target.
	MaximumWeight = 1000
	// AddressHoldDown is how long a retired target's address is refused to
	// another service, so that packets still on their way to the old target
	// cannot meet a new one.
	AddressHoldDown = 5 * time.Minute

	// retiredRetention is how long a retired target stays listed after its
	// hold-down.
	retiredRetention = time.Hour

	// rememberedRequests bounds the request-identifier table. At 2,300 changes
	// a day it reaches back over ten hours.
	rememberedRequests = 1024
)

// Limits bound what a service may ask of the fleet.
type Limits struct {
	// NewFlowsPerSecond is over the whole region; 0 is no limit.
	NewFlowsPerSecond uint32 `cbor:"1,keyasint,omitempty" json:"new_flows_per_second"`
	// ConnectionsPerTarget is the cap on open connections.
	ConnectionsPerTarget uint32 `cbor:"2,keyasint,omitempty" json:"connections_per_target"`
}

// Service is one declared service.
type Service struct {
	Number   ServiceNumber  `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Protocol Protocol       `cbor:"4,keyasint"`
	Priority Priority       `cbor:"5,keyasint"`
	Limits   Limits         `cbor:"6,keyasint"`
	Retired  bool           `cbor:"7,keyasint,omitempty"`
}

// Target is one declared target.
type Target struct {
	Number  TargetNumber   `cbor:"1,keyasint"`
	Service ServiceNumber  `cbor:"2,keyasint"`
	Name    string         `cbor:"3,keyasint"`
	Address netip.AddrPort `cbor:"4,keyasint"`
	Zone    string         `cbor:"5,keyasint,omitempty"`
	Weight  uint32         `cbor:"6,keyasint"`
	State   TargetState    `cbor:"7,keyasint"`
	// HeldUntil is the Unix second until which the address of a retired target
	// is refused to another service.
	HeldUntil int64 `cbor:"8,keyasint,omitempty"`
	// AddedAt is the Unix second at which the target was added. It is cold for a
	// while from then.
	AddedAt int64 `cbor:"9,keyasint,omitempty"`
}

// Outcome answers a change.
type Outcome struct {
	// Revision is the one that holds the change; for a refused change, the one
	// it was judged against.
	Revision uint64 `cbor:"1,keyasint"`
	// Number is the allotted service or target number, if any.
	Number uint32 `cbor:"2,keyasint,omitempty"`
	// Repeated says that the answer is an earlier one's.
	Repeated bool `cbor:"3,keyasint,omitempty"`
	// Skipped are the parts of an import that could not be, in words.
	Skipped []string `cbor:"5,keyasint,omitempty"`
	// Refusal is nil for an accepted change.
	Refusal *Refusal `cbor:"4,keyasint,omitempty"`
}

// RequestRecord remembers the answer to one request identifier.
type RequestRecord struct {
	Identifier string  `cbor:"1,keyasint"`
	Outcome    Outcome `cbor:"2,keyasint"`
}

// State is the whole configuration. It is immutable once shared: Apply returns
// a new one.
type State struct {
	Revision    uint64          `cbor:"1,keyasint"`
	LastService ServiceNumber   `cbor:"2,keyasint"`
	LastTarget  TargetNumber    `cbor:"3,keyasint"`
	Services    []Service       `cbor:"4,keyasint"`
	Targets     []Target        `cbor:"5,keyasint"`
	Requests    []RequestRecord `cbor:"6,keyasint"`
	// Imported is the platform's document that was imported last, nil if none.
	Imported *Document `cbor:"7,keyasint,omitempty"`
}

// Encode returns the state's CBOR form.
func (s *State) Encode() []byte {
	encoded, err := cbor.Marshal(s)
	if err != nil {
		panic(eris.Wrap(err, "a catalog state always has a CBOR form"))
	}
	return encoded
}

// Decode reads a state from its CBOR form; an empty one is the empty state.
func Decode(encoded []byte) (*State, error) {
	state := &State{}
	if len(encoded) == 0 {
		return state, nil
	}
	if err := cbor.Unmarshal(encoded, state); err != nil {
		return nil, eris.Wrap(err, "catalog state")
	}
	return state, nil
}

// ServiceByName returns the service of that name that is not retired.
func (s *State) ServiceByName(name string) *Service {
	for index := range s.Services {
		if s.Services[index].Name == name && !s.Services[index].Retired {
			return &s.Services[index]
		}
	}
	return nil
}

// TargetByName returns the target of that name that is not retired.
func (s *State) TargetByName(service ServiceNumber, name string) *Target {
	for index := range s.Targets {
		target := &s.Targets[index]
		if target.Service == service && target.Name == name && target.State != TargetRetired {
			return target
		}
	}
	return nil
}

// ServiceName returns the name of a service number, "" if there is none.
func (s *State) ServiceName(number ServiceNumber) string {
	index := slices.IndexFunc(s.Services, func(service Service) bool { return service.Number == number })
	if index < 0 {
		return ""
	}
	return s.Services[index].Name
}

// Ordered returns the services by name and the targets by service and name.
func (s *State) Ordered() ([]Service, []Target) {
	services := slices.Clone(s.Services)
	slices.SortStableFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	targets := slices.Clone(s.Targets)
	slices.SortStableFunc(targets, func(a, b Target) int {
		if order := strings.Compare(s.ServiceName(a.Service), s.ServiceName(b.Service)); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return services, targets
}

func (s *State) clone() *State {
	copied := *s
	copied.Services = slices.Clone(s.Services)
	copied.Targets = slices.Clone(s.Targets)
	copied.Requests = slices.Clone(s.Requests)
	return &copied
}
