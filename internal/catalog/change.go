package catalog

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
)

// Operation is what a change does.
type Operation uint8

// The operations.
const (
	CreateService Operation = iota + 1
	UpdateService
	RetireService
	AddTarget
	SetTargetWeight
	DrainTarget
	RetireTarget
)

// Change is one operator's call.
type Change struct {
	RequestIdentifier string    `cbor:"1,keyasint"`
	ExpectedRevision  uint64    `cbor:"2,keyasint,omitempty"`
	Operation         Operation `cbor:"3,keyasint"`
	// Time is the proposer's Unix second, for hold-downs.
	Time int64 `cbor:"4,keyasint"`
	// Service carries the fields of the service operations, and the service's
	// name for the target operations.
	Service Service `cbor:"5,keyasint"`
	// Target carries the fields of the target operations.
	Target Target `cbor:"6,keyasint"`
}

// RefusalCode says why a change was refused.
type RefusalCode uint8

// The refusal codes.
const (
	// RefusedInvalid: a field is out of bounds.
	RefusedInvalid RefusalCode = iota + 1
	// RefusedNotFound: the object named is not there.
	RefusedNotFound
	// RefusedExists: another object has the name or the address.
	RefusedExists
	// RefusedPrecondition: revision or state forbid the change.
	RefusedPrecondition
)

// Refusal is a refused change's answer. It is a value, not a fault.
type Refusal struct {
	Code RefusalCode `cbor:"1,keyasint"`
	// Field is the field at fault, such as "target.weight".
	Field string `cbor:"2,keyasint"`
	// Message says what was given and what is allowed.
	Message string `cbor:"3,keyasint"`
}

// Error gives field and message.
func (r *Refusal) Error() string { return r.Field + ": " + r.Message }

func refuse(code RefusalCode, field, format string, values ...any) *Refusal {
	return &Refusal{Code: code, Field: field, Message: fmt.Sprintf(format, values...)}
}

const (
	maximumNameLength    = 63
	maximumRequestLength = 64
	maximumRate          = 1_000_000
	maximumConnections   = 1_000_000
)

var namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]*[a-z0-9])?$`)

// Apply returns the state after a change and the change's outcome. A refused
// change and a repeated one return the state unchanged.
func (s *State) Apply(change *Change) (*State, Outcome) {
	if refusal := checkRequest(change); refusal != nil {
		return s, Outcome{Refusal: refusal}
	}
	for index := range s.Requests {
		if s.Requests[index].Identifier == change.RequestIdentifier {
			outcome := s.Requests[index].Outcome
			outcome.Repeated = true
			return s, outcome
		}
	}
	if change.ExpectedRevision != 0 && change.ExpectedRevision != s.Revision {
		return s, Outcome{Revision: s.Revision, Refusal: refuse(RefusedPrecondition, "options.expected_revision",
			"is %d, but the configuration is at revision %d", change.ExpectedRevision, s.Revision)}
	}
	next := s.clone()
	next.prune(change.Time)
	number, refusal := next.run(change)
	if refusal != nil {
		return s, Outcome{Revision: s.Revision, Refusal: refusal}
	}
	next.Revision++
	outcome := Outcome{Revision: next.Revision, Number: number}
	next.remember(change.RequestIdentifier, outcome)
	return next, outcome
}

// prune drops retired targets long past their hold-down. Their numbers stay
// spent: LastTarget only grows.
func (s *State) prune(now int64) {
	s.Targets = slices.DeleteFunc(s.Targets, func(target Target) bool {
		return target.State == TargetRetired && now > target.HeldUntil+int64(retiredRetention.Seconds())
	})
}

func (s *State) remember(identifier string, outcome Outcome) {
	s.Requests = append(s.Requests, RequestRecord{Identifier: identifier, Outcome: outcome})
	if excess := len(s.Requests) - rememberedRequests; excess > 0 {
		s.Requests = s.Requests[excess:]
	}
}

func (s *State) run(change *Change) (uint32, *Refusal) {
	switch change.Operation {
	case CreateService:
		return s.createService(&change.Service)
	case UpdateService:
		return 0, s.updateService(&change.Service)
	case RetireService:
		return 0, s.retireService(change.Service.Name)
	case AddTarget:
		return s.addTarget(change)
	case SetTargetWeight:
		return 0, s.setWeight(change)
	case DrainTarget:
		return 0, s.drain(change)
	case RetireTarget:
		return 0, s.retire(change)
	}
	return 0, refuse(RefusedInvalid, "operation", "%d is unknown", change.Operation)
}

func checkRequest(change *Change) *Refusal {
	if length := len(change.RequestIdentifier); length == 0 || length > maximumRequestLength {
		return refuse(RefusedInvalid, "options.request_id", "is %d bytes long, must be 1 to %d", length, maximumRequestLength)
	}
	return nil
}

func checkName(field, name string) *Refusal {
	if len(name) > maximumNameLength || !namePattern.MatchString(name) {
		return refuse(RefusedInvalid, field,
			"%q must be 1 to %d characters of a-z, 0-9 and '-', starting with a letter", name, maximumNameLength)
	}
	return nil
}

func checkAddress(field string, address netip.AddrPort) *Refusal {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		return refuse(RefusedInvalid, field, "%q must be an IP address and a port, such as 192.0.2.10:443", address)
	}
	return nil
}

func checkLimits(limits Limits) *Refusal {
	if limits.NewFlowsPerSecond > maximumRate {
		return refuse(RefusedInvalid, "service.limits.new_flows_per_second",
			"%d must be 0 to %d", limits.NewFlowsPerSecond, maximumRate)
	}
	if limits.ConnectionsPerTarget > maximumConnections {
		return refuse(RefusedInvalid, "service.limits.connections_per_target",
			"%d must be 0 to %d", limits.ConnectionsPerTarget, maximumConnections)
	}
	return nil
}

func checkPriority(priority Priority) *Refusal {
	if priority < PriorityCritical || priority > PriorityBulk {
		return refuse(RefusedInvalid, "service.priority", "%d must be critical, standard or bulk", priority)
	}
	return nil
}

func (s *State) createService(service *Service) (uint32, *Refusal) {
	for _, refusal := range []*Refusal{
		checkName("service.name", service.Name),
		checkAddress("service.address", service.Address),
		checkPriority(service.Priority),
		checkLimits(service.Limits),
	} {
		if refusal != nil {
			return 0, refusal
		}
	}
	if service.Protocol != ProtocolQUIC && service.Protocol != ProtocolUDP {
		return 0, refuse(RefusedInvalid, "service.protocol", "%d must be quic or udp", service.Protocol)
	}
	for _, other := range s.Services {
		if other.Retired {
			continue
		}
		if other.Name == service.Name {
			return 0, refuse(RefusedExists, "service.name", "%q is taken by service %d", service.Name, other.Number)
		}
		if other.Address == service.Address {
			return 0, refuse(RefusedExists, "service.address", "%q is taken by service %q", service.Address, other.Name)
		}
	}
	s.LastService++
	created := *service
	created.Number = s.LastService
	created.Retired = false
	if created.Limits.ConnectionsPerTarget == 0 {
		created.Limits.ConnectionsPerTarget = DefaultConnectionsPerTarget
	}
	s.Services = append(s.Services, created)
	return uint32(created.Number), nil
}

func (s *State) findService(field, name string) (*Service, *Refusal) {
	service := s.ServiceByName(name)
	if service == nil {
		return nil, refuse(RefusedNotFound, field, "there is no service %q", name)
	}
	return service, nil
}

func (s *State) updateService(update *Service) *Refusal {
	service, refusal := s.findService("name", update.Name)
	if refusal != nil {
		return refusal
	}
	if refusal := checkLimits(update.Limits); refusal != nil {
		return refusal
	}
	if update.Priority != 0 {
		if refusal := checkPriority(update.Priority); refusal != nil {
			return refusal
		}
		service.Priority = update.Priority
	}
	if update.Limits != (Limits{}) {
		service.Limits = update.Limits
		if service.Limits.ConnectionsPerTarget == 0 {
			service.Limits.ConnectionsPerTarget = DefaultConnectionsPerTarget
		}
	}
	return nil
}

func (s *State) retireService(name string) *Refusal {
	service, refusal := s.findService("name", name)
	if refusal != nil {
		return refusal
	}
	for index := range s.Targets {
		if s.Targets[index].Service == service.Number && s.Targets[index].State != TargetRetired {
			return refuse(RefusedPrecondition, "name", "service %q still has target %q; retire it first", name, s.Targets[index].Name)
		}
	}
	service.Retired = true
	return nil
}

func (s *State) addTarget(change *Change) (uint32, *Refusal) {
	service, refusal := s.findService("target.service", change.Service.Name)
	if refusal != nil {
		return 0, refusal
	}
	target := change.Target
	if refusal := checkName("target.name", target.Name); refusal != nil {
		return 0, refusal
	}
	if refusal := checkAddress("target.address", target.Address); refusal != nil {
		return 0, refusal
	}
	if target.Weight > MaximumWeight {
		return 0, refuse(RefusedInvalid, "target.weight", "%d must be 0 to %d", target.Weight, MaximumWeight)
	}
	if len(target.Zone) == 0 || len(target.Zone) > maximumNameLength {
		return 0, refuse(RefusedInvalid, "target.zone", "%q must be 1 to %d characters", target.Zone, maximumNameLength)
	}
	if refusal := s.checkTargetFree(service.Number, &target, change.Time); refusal != nil {
		return 0, refusal
	}
	s.LastTarget++
	target.Number = s.LastTarget
	target.Service = service.Number
	target.State = TargetActive
	target.HeldUntil = 0
	s.Targets = append(s.Targets, target)
	return uint32(target.Number), nil
}

func (s *State) checkTargetFree(service ServiceNumber, target *Target, now int64) *Refusal {
	for index := range s.Targets {
		other := &s.Targets[index]
		sameAddress := other.Address == target.Address
		if other.State == TargetRetired {
			if sameAddress && other.Service != service && now < other.HeldUntil {
				return refuse(RefusedPrecondition, "target.address",
					"%q served %q until lately and is held down for %d s more", target.Address, s.ServiceName(other.Service), other.HeldUntil-now)
			}
			continue
		}
		if sameAddress {
			return refuse(RefusedExists, "target.address", "%q is taken by target %q of service %q", target.Address, other.Name, s.ServiceName(other.Service))
		}
		if other.Service == service && other.Name == target.Name {
			return refuse(RefusedExists, "target.name", "%q is taken by target %d", target.Name, other.Number)
		}
	}
	return nil
}

func (s *State) findTarget(change *Change) (*Target, *Refusal) {
	service, refusal := s.findService("service", change.Service.Name)
	if refusal != nil {
		return nil, refusal
	}
	target := s.TargetByName(service.Number, change.Target.Name)
	if target == nil {
		return nil, refuse(RefusedNotFound, "name", "service %q has no target %q", service.Name, change.Target.Name)
	}
	return target, nil
}

func (s *State) setWeight(change *Change) *Refusal {
	target, refusal := s.findTarget(change)
	if refusal != nil {
		return refusal
	}
	if change.Target.Weight > MaximumWeight {
		return refuse(RefusedInvalid, "weight", "%d must be 0 to %d", change.Target.Weight, MaximumWeight)
	}
	target.Weight = change.Target.Weight
	return nil
}

func (s *State) drain(change *Change) *Refusal {
	target, refusal := s.findTarget(change)
	if refusal != nil {
		return refusal
	}
	target.State = TargetDraining
	return nil
}

func (s *State) retire(change *Change) *Refusal {
	target, refusal := s.findTarget(change)
	if refusal != nil {
		return refusal
	}
	target.State = TargetRetired
	target.HeldUntil = change.Time + int64(AddressHoldDown.Seconds())
	return nil
}
