// Package labctl is the lab's command line.
package labctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/passtray/passtray/internal/lab"
	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/telemetry"
)

// The exit codes.
const (
	ExitHolds  = 0
	ExitFailed = 1
	ExitUsage  = 2
	// ExitBroken: the run ended, and an invariant does not hold.
	ExitBroken = 3
)

type program struct {
	out    io.Writer
	errOut io.Writer
	code   int
}

// Run runs one command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	shared := &program{out: out, errOut: errOut}
	parser := flags.NewNamedParser("passtray-lab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 every invariant holds, 1 failed, 2 wrong usage, 3 an invariant is broken."
	for _, command := range []struct {
		name string
		help string
		data any
	}{
		{"run", "play a scenario and report", &runCommand{program: shared}},
		{"soak", "play a scenario under random faults, one schedule a seed", &soakCommand{program: shared}},
		{"check", "judge a stored history", &checkCommand{program: shared}},
		{"balance", "compare ways to choose a target, in virtual time", &balanceCommand{program: shared}},
		{"scale", "run hollow daemons in virtual time and measure what one costs", &scaleCommand{program: shared}},
	} {
		if _, err := parser.AddCommand(command.name, command.help, "", command.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	switch {
	case err == nil:
		return shared.code
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, usage.Message)
		return ExitHolds
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(errOut, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	return ExitFailed
}

type runCommand struct {
	program  *program
	Seed     *uint64       `long:"seed" description:"replaces the scenario's seed"`
	Duration time.Duration `long:"duration" description:"replaces the scenario's duration"`
	Mode     string        `long:"mode" choice:"owner" choice:"no-owner" choice:"modulo" choice:"rendezvous" choice:"random" description:"steering: passtray's own, or a baseline"`
	Faults   []string      `long:"fault" description:"KIND:TIME[:ARGUMENT], such as kill:5s:2, join:8s, drain:10s:roster/roster-3; adds to the scenario's"`
	NoFaults bool          `long:"no-faults" description:"leave the scenario's own faults out"`
	Output   string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"how to print the report"`
	HTML     string        `long:"html" description:"also write a page with plots to this file"`
	History  string        `long:"history" description:"also store the history in this file, for 'check'"`
	LogLevel string        `long:"log-level" choice:"none" choice:"info" choice:"debug" default:"none" description:"daemons' logs, on standard error"`
	Quiet    bool          `short:"q" long:"quiet" description:"no progress"`
	Args     struct {
		Scenario string `positional-arg-name:"SCENARIO"`
	} `positional-args:"true" required:"true"`
}

// Execute serves go-flags.
func (c *runCommand) Execute([]string) error {
	scenario, err := lab.LoadScenario(c.Args.Scenario)
	if err != nil {
		return err
	}
	if err := c.override(scenario); err != nil {
		return err
	}
	options := lab.Options{Logger: logr.Discard(), HistoryPath: c.History}
	if !c.Quiet {
		options.Progress = c.program.errOut
	}
	if c.LogLevel != "none" {
		if options.Logger, err = telemetry.NewLogger(c.LogLevel, "console"); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := lab.Run(ctx, scenario, options)
	if err != nil {
		return err
	}
	if !result.Holds() {
		c.program.code = ExitBroken
	}
	if c.HTML != "" {
		if err := result.WriteHTML(c.HTML); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return result.WriteJSON(c.program.out)
	}
	return result.WriteTable(c.program.out)
}

func (c *runCommand) override(scenario *lab.Scenario) error {
	if c.Seed != nil {
		scenario.Seed = *c.Seed
	}
	if c.Duration > 0 {
		scenario.Duration = c.Duration
	}
	if c.Mode != "" {
		scenario.Mode = node.SteeringMode(c.Mode)
	}
	if c.NoFaults {
		scenario.Faults = nil
	}
	for _, text := range c.Faults {
		fault, err := lab.ParseFault(text)
		if err != nil {
			return err
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario.Check()
}

type checkCommand struct {
	program *program
	Args    struct {
		History string `positional-arg-name:"HISTORY"`
	} `positional-args:"true" required:"true"`
}

// Execute serves go-flags.
func (c *checkCommand) Execute([]string) error {
	events, err := history.Load(c.Args.History)
	if err != nil {
		return err
	}
	for _, verdict := range history.Check(events) {
		answer := "holds"
		if !verdict.Holds() {
			answer = fmt.Sprintf("BROKEN %d times", verdict.Total)
			c.program.code = ExitBroken
		}
		_, _ = fmt.Fprintf(c.program.out, "%-55s %6d checked  %s\n", verdict.Invariant, verdict.Checked, answer)
		for _, violation := range verdict.Violations {
			_, _ = fmt.Fprintln(c.program.out, "  "+violation)
		}
	}
	return nil
}
