package labctl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/passtray/passtray/internal/lab/storelab"
)

// sourceStore is the name of a configuration that lies in a store.
const sourceStore = "store"

// soakStore plays daemons as processes that follow a store, one schedule after the other.
func (c *soakCommand) soakStore() error {
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	held, broken := 0, 0
	for _, seed := range c.storeSeeds() {
		config := storelab.DefaultConfig()
		config.Binary, config.Directory, config.Seed = c.Binary, c.Directory, seed
		result, err := storelab.Run(ctx, config)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return err
		}
		c.printStore(result)
		if result.Holds() {
			held++
		} else {
			broken++
		}
	}
	_, _ = fmt.Fprintf(c.program.out, "%d schedules held, %d did not\n", held, broken)
	if broken > 0 {
		c.program.code = ExitBroken
	}
	return nil
}

// storeSeeds are the schedules to be played: those that are kept and then fresh ones, unless
// one is named.
func (c *soakCommand) storeSeeds() []uint64 {
	if c.Seed != nil {
		return []uint64{*c.Seed}
	}
	seeds := slices.Clone(storelab.KeptSeeds)
	for range c.Seeds {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	return seeds
}

func (c *soakCommand) printStore(result *storelab.Result) {
	_, _ = fmt.Fprintf(c.program.out, "seed %d: %v: flows opened %d, requests answered %d, failed %d, flows reset %d\n",
		result.Seed, result.Faults, result.Count(storelab.FlowOpened), result.Count(storelab.RequestAnswered),
		result.Count(storelab.RequestFailed), result.Count(storelab.FlowReset))
	for _, verdict := range result.Verdicts {
		for _, violation := range verdict.Violations {
			_, _ = fmt.Fprintf(c.program.out, "  %s: %s\n", verdict.Invariant, violation)
		}
		if verdict.Checked == 0 {
			_, _ = fmt.Fprintf(c.program.out, "  nothing to look at for: %s\n", verdict.Invariant)
		}
	}
}
