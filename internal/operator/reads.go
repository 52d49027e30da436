package operator

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

func configurationOf(state *catalog.State, version dissemination.Version) *passtrayv1.Configuration {
	configuration := &passtrayv1.Configuration{Epoch: uint64(version.Epoch.Number), Revision: state.Revision}
	services, targets := state.Ordered()
	for _, service := range services {
		configuration.Services = append(configuration.Services, &passtrayv1.Service{
			Number: uint32(service.Number), Name: service.Name, Address: service.Address.String(),
			Protocol: passtrayv1.Protocol(service.Protocol), Priority: passtrayv1.Priority(service.Priority),
			Limits: &passtrayv1.Limits{
				NewFlowsPerSecond:    service.Limits.NewFlowsPerSecond,
				ConnectionsPerTarget: service.Limits.ConnectionsPerTarget,
			},
			Retired: service.Retired,
		})
	}
	for _, target := range targets {
		configuration.Targets = append(configuration.Targets, &passtrayv1.Target{
			Number: uint32(target.Number), Service: state.ServiceName(target.Service), Name: target.Name,
			Address: target.Address.String(), Zone: target.Zone, Weight: target.Weight,
			State: passtrayv1.TargetState(target.State),
		})
	}
	return configuration
}

// GetConfiguration implements passtrayv1.OperatorServer.
func (s *service) GetConfiguration(context.Context, *passtrayv1.GetConfigurationRequest) (*passtrayv1.Configuration, error) {
	return configurationOf(s.fleet.Configuration()), nil
}

// Watch implements passtrayv1.OperatorServer. It sends the latest configuration and may skip intermediate ones.
func (s *service) Watch(_ *passtrayv1.WatchRequest, stream grpc.ServerStreamingServer[passtrayv1.Configuration]) error {
	sent, hasSent := uint64(0), false
	for {
		changed := s.fleet.Changed()
		state, version := s.fleet.Configuration()
		if !hasSent || state.Revision != sent {
			if err := stream.Send(configurationOf(state, version)); err != nil {
				return err
			}
			sent, hasSent = state.Revision, true
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// GetStatus implements passtrayv1.OperatorServer.
func (s *service) GetStatus(ctx context.Context, _ *passtrayv1.GetStatusRequest) (*passtrayv1.Status, error) {
	state, version := s.fleet.Configuration()
	return s.statusAt(ctx, uint64(version.Epoch.Number), state.Revision)
}

func (s *service) statusAt(ctx context.Context, epoch, revision uint64) (*passtrayv1.Status, error) {
	fleet, err := s.fleet.Status(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return statusOf(fleet, epoch, revision), nil
}

func statusOf(fleet control.FleetStatus, epoch, revision uint64) *passtrayv1.Status {
	reports := map[identity.Identity]control.StatusReport{}
	for _, report := range fleet.Reports {
		reports[report.Identity] = report
	}
	fleetStatus := &passtrayv1.Status{Epoch: epoch, Revision: revision}
	for _, member := range fleet.Members {
		report, answered := reports[member.Identity]
		reportEpoch := uint64(report.Version.Epoch.Number)
		if answered && (reportEpoch > epoch || (reportEpoch == epoch && report.Revision >= revision)) {
			fleetStatus.InForce++
		}
		fleetStatus.Daemons = append(fleetStatus.Daemons, &passtrayv1.DaemonStatus{
			Address: member.Identity.Address.String(), Zone: member.Zone, Answered: answered,
			Epoch: reportEpoch, Revision: report.Revision, Voter: report.Voter, Leader: report.Leader,
		})
	}
	return fleetStatus
}

// WaitInForce implements passtrayv1.OperatorServer. It polls the fleet's status.
func (s *service) WaitInForce(ctx context.Context, request *passtrayv1.WaitInForceRequest) (*passtrayv1.Status, error) {
	state, version := s.fleet.Configuration()
	revision := request.GetRevision()
	if revision == 0 {
		revision = state.Revision
	}
	for {
		fleetStatus, err := s.statusAt(ctx, uint64(version.Epoch.Number), revision)
		if err != nil {
			return nil, err
		}
		if int(fleetStatus.GetInForce()) == len(fleetStatus.GetDaemons()) {
			return fleetStatus, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, status.Errorf(codes.DeadlineExceeded, "revision %d is in force on %d of %d daemons",
				revision, fleetStatus.GetInForce(), len(fleetStatus.GetDaemons()))
		}
	}
}

// Recover implements passtrayv1.OperatorServer. The expected epoch makes a repeated call fail, so that it recovers once.
func (s *service) Recover(ctx context.Context, request *passtrayv1.RecoverRequest) (*passtrayv1.RecoverResponse, error) {
	state, version := s.fleet.Configuration()
	if request.GetExpectedEpoch() != uint64(version.Epoch.Number) {
		return nil, status.Errorf(codes.FailedPrecondition, "expected_epoch: is %d, but epoch %d is in force here",
			request.GetExpectedEpoch(), version.Epoch.Number)
	}
	recovered, err := s.fleet.Recover(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &passtrayv1.RecoverResponse{Epoch: uint64(recovered.Epoch.Number), Revision: state.Revision}, nil
}
