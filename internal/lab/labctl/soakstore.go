package labctl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/passtray/passtray/internal/lab/storelab"
)

// sourceStore is the value of --source for a configuration in a store.
const sourceStore = "store"

// soakStore runs the schedules of storelab.
func (c *soakCommand) soakStore() error {
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	held, broken, failed := 0, 0, error(nil)
	c.playStore(ctx, func(result *storelab.Result, err error) {
		switch {
		case ctx.Err() != nil:
		case err != nil:
			failed = err
			stop()
		default:
			c.printStore(result)
			if result.Holds() {
				held++
			} else {
				broken++
			}
		}
	})
	if failed != nil {
		return failed
	}
	_, _ = fmt.Fprintf(c.program.out, "%d schedules held, %d did not\n", held, broken)
	if broken > 0 {
		c.program.code = ExitBroken
	}
	return nil
}

// playStore runs several schedules concurrently and calls take for each result, one at a time. A
// large run runs alone.
func (c *soakCommand) playStore(ctx context.Context, take func(result *storelab.Result, err error)) {
	var taking sync.Mutex
	var waiting sync.WaitGroup
	room := make(chan struct{}, max(1, c.Parallel))
	for index, seed := range c.storeSeeds() {
		config, isLarge, err := c.storeConfig(index, seed)
		if isLarge {
			waiting.Wait()
		}
		room <- struct{}{}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			defer func() { <-room }()
			var result *storelab.Result
			if err == nil && ctx.Err() == nil {
				result, err = storelab.Run(ctx, config)
			}
			taking.Lock()
			defer taking.Unlock()
			take(result, err)
		}()
		if isLarge {
			waiting.Wait()
		}
	}
	waiting.Wait()
}

// storeConfig returns the configuration of a run. Regression seeds keep their number of series.
func (c *soakCommand) storeConfig(index int, seed uint64) (config storelab.Config, isLarge bool, err error) {
	config = storelab.DefaultConfig()
	isLarge = c.Large > 0 && (index+1)%c.Large == 0
	if isLarge {
		config, err = storelab.LargeConfig()
	}
	config.Binary, config.Directory, config.Seed = c.Binary, c.Directory, seed
	for _, kept := range storelab.KeptSeeds {
		if kept.Seed == seed {
			config.Series = kept.Series
		}
	}
	return config, isLarge, err
}

// storeSeeds returns the seeds to run: the regression seeds and then random ones, unless --seed or
// --first is given.
func (c *soakCommand) storeSeeds() []uint64 {
	if c.Seed != nil {
		return []uint64{*c.Seed}
	}
	if c.First != nil {
		return seedsFrom(*c.First, c.Seeds)
	}
	var seeds []uint64
	for _, kept := range storelab.KeptSeeds {
		seeds = append(seeds, kept.Seed)
	}
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
			_, _ = fmt.Fprintf(c.program.out, "  not exercised: %s\n", verdict.Invariant)
		}
	}
}
