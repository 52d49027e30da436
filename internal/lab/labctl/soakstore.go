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
	passed, failed, runErr := 0, 0, error(nil)
	c.runStore(ctx, func(result *storelab.Result, err error) {
		switch {
		case ctx.Err() != nil:
		case err != nil:
			runErr = err
			stop()
		default:
			c.printStore(result)
			if result.Holds() {
				passed++
			} else {
				failed++
			}
		}
	})
	if runErr != nil {
		return runErr
	}
	_, _ = fmt.Fprintf(c.program.stdout, "%d schedules held, %d did not\n", passed, failed)
	if failed > 0 {
		c.program.exitCode = ExitViolated
	}
	return nil
}

// runStore runs several schedules concurrently and calls handle for each result, one at a time. A
// large run runs alone.
func (c *soakCommand) runStore(ctx context.Context, handle func(result *storelab.Result, err error)) {
	var mutex sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, c.Parallel))
	for index, seed := range c.storeSeeds() {
		config, isLarge, err := c.storeConfig(index, seed)
		if isLarge {
			wg.Wait()
		}
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			var result *storelab.Result
			if err == nil && ctx.Err() == nil {
				result, err = storelab.Run(ctx, config)
			}
			mutex.Lock()
			defer mutex.Unlock()
			handle(result, err)
		}()
		if isLarge {
			wg.Wait()
		}
	}
	wg.Wait()
}

// storeConfig returns the configuration of a run. Regression seeds keep their numbers of series and faults.
func (c *soakCommand) storeConfig(index int, seed uint64) (config storelab.Config, isLarge bool, err error) {
	config = storelab.DefaultConfig()
	isLarge = c.Large > 0 && (index+1)%c.Large == 0
	if isLarge {
		config, err = storelab.LargeConfig()
	}
	config.Binary, config.Directory, config.Seed = c.Binary, c.Directory, seed
	for _, regression := range storelab.RegressionSeeds {
		if regression.Seed == seed {
			config.Series, config.TargetFaults, config.EntryFaults = regression.Series, regression.TargetFaults, regression.EntryFaults
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
	for _, regression := range storelab.RegressionSeeds {
		seeds = append(seeds, regression.Seed)
	}
	for range c.Seeds {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	return seeds
}

func (c *soakCommand) printStore(result *storelab.Result) {
	_, _ = fmt.Fprintf(c.program.stdout, "seed %d: %v: flows opened %d, requests answered %d, failed %d, flows reset %d\n",
		result.Seed, result.Faults, result.Count(storelab.FlowOpened), result.Count(storelab.RequestAnswered),
		result.Count(storelab.RequestFailed), result.Count(storelab.FlowReset))
	for _, verdict := range result.Verdicts {
		for _, violation := range verdict.Violations {
			_, _ = fmt.Fprintf(c.program.stdout, "  %s: %s\n", verdict.Invariant, violation)
		}
		if verdict.Checked == 0 {
			_, _ = fmt.Fprintf(c.program.stdout, "  not exercised: %s\n", verdict.Invariant)
		}
	}
}
