package operator

import (
	"context"
	"net/netip"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
)

// submit commits a change and converts the outcome to a response or a gRPC status. If the outcome is unknown, the caller
// may repeat the call with the same request_id without applying the change twice.
func (s *service) submit(ctx context.Context, options *passtrayv1.ChangeOptions, change catalog.Change) (*passtrayv1.ChangeResponse, error) {
	change.RequestIdentifier = options.GetRequestId()
	change.ExpectedRevision = options.GetExpectedRevision()
	result, err := s.fleet.Submit(ctx, change)
	if err != nil {
		return nil, status.Error(codes.Unavailable, "outcome unknown; call again with the same request_id: "+err.Error())
	}
	if result.Status != control.ProposalDecided {
		return nil, status.Error(codes.Unavailable,
			"outcome unknown: no leader committed the change in time; call again with the same request_id")
	}
	if refusal := result.Outcome.Refusal; refusal != nil {
		return nil, status.Error(codeOf(refusal.Code), refusal.Error())
	}
	return &passtrayv1.ChangeResponse{
		Epoch: uint64(result.Epoch.Number), Revision: result.Outcome.Revision,
		Number: result.Outcome.Number, Repeated: result.Outcome.Repeated,
	}, nil
}

func codeOf(code catalog.RefusalCode) codes.Code {
	switch code {
	case catalog.RefusedNotFound:
		return codes.NotFound
	case catalog.RefusedExists:
		return codes.AlreadyExists
	case catalog.RefusedPrecondition:
		return codes.FailedPrecondition
	default:
		return codes.InvalidArgument
	}
}

// parseAddress parses an address field. Host names are rejected, since packets are matched by IP address.
func parseAddress(field, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, status.Errorf(codes.InvalidArgument,
			"%s: %q must be an IP address and a port, such as 192.0.2.10:443", field, text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

func limitsOf(limits *passtrayv1.Limits) catalog.Limits {
	return catalog.Limits{
		NewFlowsPerSecond:    limits.GetNewFlowsPerSecond(),
		ConnectionsPerTarget: limits.GetConnectionsPerTarget(),
	}
}

// CreateService implements passtrayv1.OperatorServer.
func (s *service) CreateService(ctx context.Context, request *passtrayv1.CreateServiceRequest) (*passtrayv1.ChangeResponse, error) {
	spec := request.GetService()
	address, err := parseAddress("service.address", spec.GetAddress())
	if err != nil {
		return nil, err
	}
	return s.submit(ctx, request.GetOptions(), catalog.Change{
		Operation: catalog.CreateService,
		Service: catalog.Service{
			Name: spec.GetName(), Address: address, Protocol: catalog.Protocol(spec.GetProtocol()),
			Priority: catalog.Priority(spec.GetPriority()), Limits: limitsOf(spec.GetLimits()),
		},
	})
}

// UpdateService implements passtrayv1.OperatorServer.
func (s *service) UpdateService(ctx context.Context, request *passtrayv1.UpdateServiceRequest) (*passtrayv1.ChangeResponse, error) {
	return s.submit(ctx, request.GetOptions(), catalog.Change{
		Operation: catalog.UpdateService,
		Service: catalog.Service{
			Name: request.GetName(), Priority: catalog.Priority(request.GetPriority()), Limits: limitsOf(request.GetLimits()),
		},
	})
}

// RetireService implements passtrayv1.OperatorServer.
func (s *service) RetireService(ctx context.Context, request *passtrayv1.RetireServiceRequest) (*passtrayv1.ChangeResponse, error) {
	return s.submit(ctx, request.GetOptions(), catalog.Change{
		Operation: catalog.RetireService, Service: catalog.Service{Name: request.GetName()},
	})
}

// AddTarget implements passtrayv1.OperatorServer.
func (s *service) AddTarget(ctx context.Context, request *passtrayv1.AddTargetRequest) (*passtrayv1.ChangeResponse, error) {
	spec := request.GetTarget()
	address, err := parseAddress("target.address", spec.GetAddress())
	if err != nil {
		return nil, err
	}
	return s.submit(ctx, request.GetOptions(), catalog.Change{
		Operation: catalog.AddTarget,
		Service:   catalog.Service{Name: spec.GetService()},
		Target: catalog.Target{
			Name: spec.GetName(), Address: address, Zone: spec.GetZone(), Weight: spec.GetWeight(),
		},
	})
}

func targetChange(operation catalog.Operation, service, name string, weight uint32) catalog.Change {
	return catalog.Change{
		Operation: operation, Service: catalog.Service{Name: service},
		Target: catalog.Target{Name: name, Weight: weight},
	}
}

// SetTargetWeight implements passtrayv1.OperatorServer.
func (s *service) SetTargetWeight(ctx context.Context, request *passtrayv1.SetTargetWeightRequest) (*passtrayv1.ChangeResponse, error) {
	return s.submit(ctx, request.GetOptions(), targetChange(catalog.SetTargetWeight, request.GetService(), request.GetName(), request.GetWeight()))
}

// DrainTarget implements passtrayv1.OperatorServer.
func (s *service) DrainTarget(ctx context.Context, request *passtrayv1.DrainTargetRequest) (*passtrayv1.ChangeResponse, error) {
	return s.submit(ctx, request.GetOptions(), targetChange(catalog.DrainTarget, request.GetService(), request.GetName(), 0))
}

// RetireTarget implements passtrayv1.OperatorServer.
func (s *service) RetireTarget(ctx context.Context, request *passtrayv1.RetireTargetRequest) (*passtrayv1.ChangeResponse, error) {
	return s.submit(ctx, request.GetOptions(), targetChange(catalog.RetireTarget, request.GetService(), request.GetName(), 0))
}
