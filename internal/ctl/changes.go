package ctl

import (
	"context"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
)

type limitFlags struct {
	Flows       uint32 `long:"new-flows-per-second" description:"limit over the whole region; 0 is none"`
	Connections uint32 `long:"connections-per-target" description:"open connections a target may hold; 0 is 2,000"`
}

func (f *limitFlags) limits() *passtrayv1.Limits {
	return &passtrayv1.Limits{NewFlowsPerSecond: f.Flows, ConnectionsPerTarget: f.Connections}
}

type serviceCreateCommand struct {
	program *program
	ChangeFlags
	limitFlags
	Address  string `long:"address" required:"true" description:"IP:port that callers use"`
	Protocol string `long:"protocol" default:"quic" description:"quic or udp"`
	Priority string `long:"priority" required:"true" description:"critical, standard or bulk"`
	Name     struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *serviceCreateCommand) Execute([]string) error {
	protocol, err := parseEnum("--protocol", c.Protocol, "PROTOCOL_", passtrayv1.Protocol_value)
	if err != nil {
		return err
	}
	priority, err := parseEnum("--priority", c.Priority, "PRIORITY_", passtrayv1.Priority_value)
	if err != nil {
		return err
	}
	service := &passtrayv1.Service{
		Name: c.Name.Name, Address: c.Address, Protocol: passtrayv1.Protocol(protocol),
		Priority: passtrayv1.Priority(priority), Limits: c.limits(),
	}
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.CreateService(ctx, &passtrayv1.CreateServiceRequest{Options: options, Service: service})
	})
}

type serviceUpdateCommand struct {
	program *program
	ChangeFlags
	limitFlags
	Priority string `long:"priority" description:"critical, standard or bulk; kept if not given"`
	Name     struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *serviceUpdateCommand) Execute([]string) error {
	request := &passtrayv1.UpdateServiceRequest{Name: c.Name.Name}
	if c.Priority != "" {
		priority, err := parseEnum("--priority", c.Priority, "PRIORITY_", passtrayv1.Priority_value)
		if err != nil {
			return err
		}
		request.Priority = passtrayv1.Priority(priority)
	}
	if c.Flows != 0 || c.Connections != 0 {
		request.Limits = c.limits()
	}
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		request.Options = options
		return client.UpdateService(ctx, request)
	})
}

type serviceRetireCommand struct {
	program *program
	ChangeFlags
	Name struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *serviceRetireCommand) Execute([]string) error {
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.RetireService(ctx, &passtrayv1.RetireServiceRequest{Options: options, Name: c.Name.Name})
	})
}

type targetNames struct {
	Names struct {
		Service string `positional-arg-name:"SERVICE"`
		Target  string `positional-arg-name:"TARGET"`
	} `positional-args:"true" required:"true"`
}

type targetAddCommand struct {
	program *program
	ChangeFlags
	targetNames
	Address string `long:"address" required:"true" description:"IP:port the target listens on"`
	Zone    string `long:"zone" required:"true" description:"where it stands"`
	Weight  uint32 `long:"weight" default:"100" description:"its share of new flows, 0 to 1000"`
}

// Execute implements flags.Commander.
func (c *targetAddCommand) Execute([]string) error {
	target := &passtrayv1.Target{
		Service: c.Names.Service, Name: c.Names.Target, Address: c.Address, Zone: c.Zone, Weight: c.Weight,
	}
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.AddTarget(ctx, &passtrayv1.AddTargetRequest{Options: options, Target: target})
	})
}

type targetWeightCommand struct {
	program *program
	ChangeFlags
	targetNames
	Weight uint32 `long:"weight" required:"true" description:"its share of new flows, 0 to 1000"`
}

// Execute implements flags.Commander.
func (c *targetWeightCommand) Execute([]string) error {
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.SetTargetWeight(ctx, &passtrayv1.SetTargetWeightRequest{
			Options: options, Service: c.Names.Service, Name: c.Names.Target, Weight: c.Weight,
		})
	})
}

type targetDrainCommand struct {
	program *program
	ChangeFlags
	targetNames
}

// Execute implements flags.Commander.
func (c *targetDrainCommand) Execute([]string) error {
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.DrainTarget(ctx, &passtrayv1.DrainTargetRequest{Options: options, Service: c.Names.Service, Name: c.Names.Target})
	})
}

type targetRetireCommand struct {
	program *program
	ChangeFlags
	targetNames
}

// Execute implements flags.Commander.
func (c *targetRetireCommand) Execute([]string) error {
	return c.program.change(&c.ChangeFlags, func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.RetireTarget(ctx, &passtrayv1.RetireTargetRequest{Options: options, Service: c.Names.Service, Name: c.Names.Target})
	})
}
