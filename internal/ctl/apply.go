package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
)

// Declaration is the content of the file for apply: the desired services and targets.
type Declaration struct {
	Services []DeclaredService `yaml:"services"`
}

// DeclaredService is a desired service with its targets.
type DeclaredService struct {
	Name     string           `yaml:"name"`
	Address  string           `yaml:"address"`
	Protocol string           `yaml:"protocol"`
	Priority string           `yaml:"priority"`
	Limits   DeclaredLimits   `yaml:"limits"`
	Targets  []DeclaredTarget `yaml:"targets"`
}

// DeclaredLimits are the limits of a desired service.
type DeclaredLimits struct {
	NewFlowsPerSecond    uint32 `yaml:"new_flows_per_second"`
	ConnectionsPerTarget uint32 `yaml:"connections_per_target"`
}

// DeclaredTarget is a desired target.
type DeclaredTarget struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	Zone    string  `yaml:"zone"`
	Weight  *uint32 `yaml:"weight"`
}

const defaultWeight = 100

// ReadDeclaration reads and validates a declaration. An error for an unknown field names the file, line and field.
func ReadDeclaration(path string) (*Declaration, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "declaration")
	}
	defer func() { _ = file.Close() }()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	declaration := &Declaration{}
	if err := decoder.Decode(declaration); err != nil && !errors.Is(err, io.EOF) {
		return nil, usageError("%s: %s", path, err)
	}
	for index, service := range declaration.Services {
		if _, err := service.message(); err != nil {
			return nil, usageError("%s: services[%d]: %s", path, index, err)
		}
	}
	return declaration, nil
}

func (s *DeclaredService) message() (*passtrayv1.Service, error) {
	if s.Protocol == "" {
		s.Protocol = "quic"
	}
	protocol, err := parseEnum("protocol", s.Protocol, "PROTOCOL_", passtrayv1.Protocol_value)
	if err != nil {
		return nil, err
	}
	priority, err := parseEnum("priority", s.Priority, "PRIORITY_", passtrayv1.Priority_value)
	if err != nil {
		return nil, err
	}
	return &passtrayv1.Service{
		Name: s.Name, Address: s.Address, Protocol: passtrayv1.Protocol(protocol), Priority: passtrayv1.Priority(priority),
		Limits: &passtrayv1.Limits{
			NewFlowsPerSecond: s.Limits.NewFlowsPerSecond, ConnectionsPerTarget: s.Limits.ConnectionsPerTarget,
		},
	}, nil
}

func (t *DeclaredTarget) message(service string) *passtrayv1.Target {
	weight := uint32(defaultWeight)
	if t.Weight != nil {
		weight = *t.Weight
	}
	return &passtrayv1.Target{Service: service, Name: t.Name, Address: t.Address, Zone: t.Zone, Weight: weight}
}

type applyCommand struct {
	program *program
	File    string `short:"f" long:"file" required:"true" description:"declaration (YAML)"`
	Wait    bool   `long:"wait" description:"return only when all is in force on every live daemon"`
	DryRun  bool   `long:"dry-run" description:"print what would be done and change nothing"`
}

// plannedChange is a call of apply to the operator API.
type plannedChange struct {
	description string
	run         func(context.Context, passtrayv1.OperatorClient, *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error)
}

// Execute implements flags.Commander. It creates and updates the services and targets that differ from the file. Those
// missing from the file are left unchanged.
func (c *applyCommand) Execute([]string) error {
	declaration, err := ReadDeclaration(c.File)
	if err != nil {
		return err
	}
	var current *passtrayv1.Configuration
	err = c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		current, err = client.GetConfiguration(ctx, &passtrayv1.GetConfigurationRequest{})
		return err
	})
	if err != nil {
		return err
	}
	changes, err := planChanges(declaration, current)
	if err != nil {
		return err
	}
	return c.run(changes)
}

func (c *applyCommand) run(changes []plannedChange) error {
	revision := uint64(0)
	for _, change := range changes {
		_, _ = fmt.Fprintln(c.program.errOut, change.description)
		if c.DryRun {
			continue
		}
		options := (&ChangeFlags{}).options()
		err := c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
			response, err := change.run(ctx, client, options)
			revision = max(revision, response.GetRevision())
			return err
		})
		if err != nil {
			return eris.Wrap(err, change.description)
		}
	}
	_, _ = fmt.Fprintf(c.program.errOut, "%d change(s), revision %d\n", len(changes), revision)
	if c.Wait && revision > 0 {
		return c.program.wait(revision)
	}
	return nil
}

func planChanges(declaration *Declaration, current *passtrayv1.Configuration) ([]plannedChange, error) {
	var changes []plannedChange
	for index := range declaration.Services {
		declared := &declaration.Services[index]
		desired, err := declared.message()
		if err != nil {
			return nil, err
		}
		serviceChanges, err := planService(desired, current)
		if err != nil {
			return nil, err
		}
		changes = append(changes, serviceChanges...)
		for targetIndex := range declared.Targets {
			targetChanges, err := planTarget(declared.Targets[targetIndex].message(declared.Name), current)
			if err != nil {
				return nil, err
			}
			changes = append(changes, targetChanges...)
		}
	}
	return changes, nil
}

func planService(desired *passtrayv1.Service, current *passtrayv1.Configuration) ([]plannedChange, error) {
	for _, existing := range current.GetServices() {
		if existing.GetName() != desired.GetName() || existing.GetRetired() {
			continue
		}
		if existing.GetAddress() != desired.GetAddress() || existing.GetProtocol() != desired.GetProtocol() {
			return nil, usageError("service %q: address and protocol cannot be changed (currently %s %s)",
				desired.GetName(), existing.GetAddress(), enumShortName(existing.GetProtocol()))
		}
		desiredConnections := desired.GetLimits().GetConnectionsPerTarget()
		sameLimits := existing.GetLimits().GetNewFlowsPerSecond() == desired.GetLimits().GetNewFlowsPerSecond() &&
			(desiredConnections == 0 || existing.GetLimits().GetConnectionsPerTarget() == desiredConnections)
		if sameLimits && existing.GetPriority() == desired.GetPriority() {
			return nil, nil
		}
		return []plannedChange{{"update service " + desired.GetName(), func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
			return client.UpdateService(ctx, &passtrayv1.UpdateServiceRequest{
				Options: options, Name: desired.GetName(), Priority: desired.GetPriority(), Limits: desired.GetLimits(),
			})
		}}}, nil
	}
	return []plannedChange{{"create service " + desired.GetName(), func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.CreateService(ctx, &passtrayv1.CreateServiceRequest{Options: options, Service: desired})
	}}}, nil
}

func planTarget(desired *passtrayv1.Target, current *passtrayv1.Configuration) ([]plannedChange, error) {
	name := desired.GetService() + "/" + desired.GetName()
	for _, existing := range current.GetTargets() {
		sameName := existing.GetService() == desired.GetService() && existing.GetName() == desired.GetName()
		if !sameName || existing.GetState() == passtrayv1.TargetState_TARGET_STATE_RETIRED {
			continue
		}
		if existing.GetAddress() != desired.GetAddress() || existing.GetZone() != desired.GetZone() {
			return nil, usageError("target %q: address and zone cannot be changed (currently %s %s); retire it and add another",
				name, existing.GetAddress(), existing.GetZone())
		}
		if existing.GetWeight() == desired.GetWeight() {
			return nil, nil
		}
		return []plannedChange{{"set weight of target " + name, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
			return client.SetTargetWeight(ctx, &passtrayv1.SetTargetWeightRequest{
				Options: options, Service: desired.GetService(), Name: desired.GetName(), Weight: desired.GetWeight(),
			})
		}}}, nil
	}
	return []plannedChange{{"add target " + name, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.AddTarget(ctx, &passtrayv1.AddTargetRequest{Options: options, Target: desired})
	}}}, nil
}
