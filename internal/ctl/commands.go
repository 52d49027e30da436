package ctl

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/jessevdk/go-flags"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/pki"
)

func addCommands(parser *flags.Parser, shared *program) {
	add := func(parent *flags.Command, name, help string, data any) *flags.Command {
		target := parser.Command
		if parent != nil {
			target = parent
		}
		command, err := target.AddCommand(name, help, "", data)
		if err != nil {
			panic(err)
		}
		return command
	}
	none := &struct{}{}
	add(nil, "apply", "create and change what a file declares", &applyCommand{program: shared})
	add(nil, "get", "print the configuration in force", &getCommand{program: shared})
	add(nil, "watch", "print each configuration as it comes into force", &watchCommand{program: shared})
	add(nil, "status", "ask every daemon what it has in force", &statusCommand{program: shared})
	add(nil, "wait", "wait until a revision is in force on every live daemon", &waitCommand{program: shared})
	add(nil, "recover", "found the group anew after its voters were lost for good", &recoverCommand{program: shared})
	add(nil, "completion", "print a completion script for bash", &completionCommand{program: shared})
	service := add(nil, "service", "create, update and retire services", none)
	add(service, "create", "declare a service", &serviceCreateCommand{program: shared})
	add(service, "update", "change a service's priority and limits", &serviceUpdateCommand{program: shared})
	add(service, "retire", "end a service without targets", &serviceRetireCommand{program: shared})
	target := add(nil, "target", "add, weigh, drain and retire targets", none)
	add(target, "add", "place a target behind a service", &targetAddCommand{program: shared})
	add(target, "weight", "change a target's share of new flows", &targetWeightCommand{program: shared})
	add(target, "drain", "give a target no new flows", &targetDrainCommand{program: shared})
	add(target, "retire", "end a target", &targetRetireCommand{program: shared})
	keys := add(nil, "keys", "make and rotate keys and certificates", none)
	add(keys, "init", "make a development authority, certificates and keys", &keysInitCommand{})
	add(keys, "issue", "issue a certificate", &keysIssueCommand{})
	add(keys, "rotate", "do one step of a key rotation", &keysRotateCommand{})
}

type getCommand struct{ program *program }

// Execute serves go-flags.
func (c *getCommand) Execute([]string) error {
	return c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		configuration, err := client.GetConfiguration(ctx, &passtrayv1.GetConfigurationRequest{})
		if err != nil {
			return err
		}
		return c.program.printConfiguration(configuration)
	})
}

type watchCommand struct{ program *program }

// Execute serves go-flags. It ends with --timeout.
func (c *watchCommand) Execute([]string) error {
	return c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		stream, err := client.Watch(ctx, &passtrayv1.WatchRequest{})
		if err != nil {
			return err
		}
		for {
			configuration, err := stream.Recv()
			if errors.Is(err, io.EOF) || ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			if err := c.program.printConfiguration(configuration); err != nil {
				return err
			}
		}
	})
}

type statusCommand struct{ program *program }

// Execute serves go-flags.
func (c *statusCommand) Execute([]string) error {
	return c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		answer, err := client.GetStatus(ctx, &passtrayv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		return c.program.printStatus(answer)
	})
}

type waitCommand struct {
	program  *program
	Revision uint64 `long:"revision" description:"the revision to wait for; 0 is the one in force on the daemon asked"`
}

// Execute serves go-flags.
func (c *waitCommand) Execute([]string) error {
	return c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		answer, err := client.WaitInForce(ctx, &passtrayv1.WaitInForceRequest{Revision: c.Revision})
		if err != nil {
			return err
		}
		return c.program.printStatus(answer)
	})
}

type recoverCommand struct {
	program       *program
	ExpectedEpoch uint64 `long:"expected-epoch" required:"true" description:"the epoch 'status' shows on the daemon asked"`
}

// Execute serves go-flags.
func (c *recoverCommand) Execute([]string) error {
	return c.program.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		answer, err := client.Recover(ctx, &passtrayv1.RecoverRequest{ExpectedEpoch: c.ExpectedEpoch})
		if err != nil {
			return err
		}
		return c.program.print(answer, func(table *tableWriter) {
			table.row("EPOCH", "REVISION")
			table.row(answer.GetEpoch(), answer.GetRevision())
		})
	})
}

type completionCommand struct{ program *program }

// bashCompletion asks the program itself, as go-flags provides.
const bashCompletion = `_passtrayctl() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _passtrayctl passtrayctl
`

// Execute serves go-flags.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.program.out, bashCompletion)
	return err
}

type keysInitCommand struct {
	Directory string   `long:"directory" required:"true" description:"where to write; made if missing"`
	Addresses []string `long:"address" required:"true" description:"IP address of a daemon; give each"`
}

// Execute serves go-flags.
func (c *keysInitCommand) Execute([]string) error {
	addresses, err := parseIPs(c.Addresses)
	if err != nil {
		return err
	}
	return pki.Initialize(c.Directory, addresses, time.Now())
}

type keysIssueCommand struct {
	Directory string   `long:"directory" required:"true" description:"where the authority is"`
	Name      string   `long:"name" required:"true" description:"name of the certificate, and of its files"`
	Role      string   `long:"role" choice:"daemon" choice:"operator" required:"true" description:"what the holder may be"`
	Addresses []string `long:"address" description:"IP address of the daemon; give each"`
}

// Execute serves go-flags.
func (c *keysIssueCommand) Execute([]string) error {
	addresses, err := parseIPs(c.Addresses)
	if err != nil {
		return err
	}
	return pki.Issue(c.Directory, c.Name, pki.Role(c.Role), addresses, time.Now())
}

type keysRotateCommand struct {
	File string `long:"file" required:"true" description:"keyring.yaml or fleet-key.yaml"`
	Step string `long:"step" choice:"add" choice:"activate" choice:"remove" required:"true" description:"add, then activate, then remove; spread the file and reload after each"`
}

// Execute serves go-flags.
func (c *keysRotateCommand) Execute([]string) error {
	return pki.Rotate(c.File, pki.RotationStep(c.Step))
}

func parseIPs(texts []string) ([]netip.Addr, error) {
	var addresses []netip.Addr
	for _, text := range texts {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return nil, usageError("--address: %q must be an IP address", text)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
