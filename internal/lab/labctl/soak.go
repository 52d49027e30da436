package labctl

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/lab"
)

type soakCommand struct {
	program   *program
	Seeds     int           `long:"seeds" default:"10" description:"how many schedules"`
	First     *uint64       `long:"first" description:"the first seed; without it 1, with a store drawn ones"`
	Parallel  int           `long:"parallel" default:"2" description:"how many runs at once"`
	Duration  time.Duration `long:"duration" default:"14s" description:"replaces the scenario's duration"`
	Directory string        `long:"directory" default:"lab-out" description:"where failing histories go; with a store, settings and logs of the daemons"`
	Source    string        `long:"source" choice:"fleet" choice:"store" default:"fleet" description:"where the configuration comes from, as for passtrayd"`
	Binary    string        `long:"binary" default:".bin/passtrayd" description:"with a store: the daemon's program"`
	Seed      *uint64       `long:"seed" description:"with a store: play just this schedule"`
	Large     int           `long:"large-every" default:"10" description:"with a store: each run of so many has as many daemons as half of the memory holds; 0 is none"`
	Args      struct {
		Scenario string `positional-arg-name:"SCENARIO"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Source == sourceStore {
		return c.soakStore()
	}
	if c.Args.Scenario == "" {
		return eris.New("SCENARIO is required with --source fleet")
	}
	scenario, err := lab.LoadScenario(c.Args.Scenario)
	if err != nil {
		return err
	}
	scenario.Duration = c.Duration
	if err := scenario.Check(); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	first := uint64(1)
	if c.First != nil {
		first = *c.First
	}
	passed, failed := 0, 0
	lab.Soak(ctx, scenario, seedsFrom(first, c.Seeds), c.Parallel, c.Directory, func(result lab.SoakResult) {
		if c.print(&result) {
			passed++
		} else {
			failed++
		}
	})
	_, _ = fmt.Fprintf(c.program.stdout, "%d schedules held, %d did not\n", passed, failed)
	if failed > 0 {
		c.program.exitCode = ExitViolated
	}
	return nil
}

// seedsFrom returns consecutive seeds.
func seedsFrom(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for index := range seeds {
		seeds[index] = first + uint64(index)
	}
	return seeds
}

// print prints the result of one seed and reports whether all invariants hold.
func (c *soakCommand) print(result *lab.SoakResult) bool {
	if result.Err != nil {
		_, _ = fmt.Fprintf(c.program.stdout, "seed %d: run failed: %s\n", result.Seed, result.Err)
		return false
	}
	r := result.Report
	_, _ = fmt.Fprintf(c.program.stdout, "seed %d: %v: dials %d, failed %d, feeds broken %d, unknown %d, not run %d; timer delay %.2f s\n",
		result.Seed, result.Faults, r.Dials, r.FailedDials, r.FeedsBroken, r.Runs.Unknown, r.Runs.NotRun, r.StalledSeconds)
	if r.Holds() {
		return true
	}
	for index := range r.Verdicts {
		for _, violation := range r.Verdicts[index].Violations {
			_, _ = fmt.Fprintf(c.program.stdout, "  %s: %s\n", r.Verdicts[index].Invariant, violation)
		}
	}
	_, _ = fmt.Fprintf(c.program.stdout, "  minimized schedule that still fails: %v\n", result.Minimized)
	return false
}
