package storelab

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Config is the configuration of one run.
type Config struct {
	// Binary is the path of the daemon's executable, Directory where settings and logs are written.
	Binary    string
	Directory string
	Seed      uint64
	Daemons   int
	Zones     int
	// Targets is the number of targets per service, Callers the number of calling hosts.
	Targets int
	Callers int
	// Faults is the number of faults to draw.
	Faults int
	// FaultPeriod is the period over which faults and series are distributed.
	FaultPeriod time.Duration
	// Cooldown is how long callers continue after the faults and the planned maintenance.
	Cooldown time.Duration
	// Series is the number of series of signals, restarts and changes to draw in addition to the
	// faults.
	Series int
	// TargetFaults is the number of faults of targets and their entries to draw in addition.
	TargetFaults int
	// EntryFaults is the number of faults of other writers of entries, and of entries that come late,
	// to draw in addition.
	EntryFaults int
	Bounds      Bounds
}

// DefaultConfig returns the configuration of a small run of about a minute.
func DefaultConfig() Config {
	return Config{
		Daemons: 6, Zones: 3, Targets: 5, Callers: 12, Faults: 8,
		FaultPeriod: 14 * time.Second, Cooldown: 7 * time.Second, Series: 4, TargetFaults: 3, EntryFaults: 3,
		Bounds: Bounds{Converge: 5 * time.Second, Drain: 5 * time.Second, Settle: 5 * time.Second, Response: 2500 * time.Millisecond, Recover: 6 * time.Second},
	}
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Faults   []Fault
	Verdicts []Verdict
	Events   []Event
}

// Holds reports whether no invariant was violated.
func (r *Result) Holds() bool {
	for index := range r.Verdicts {
		if len(r.Verdicts[index].Violations) > 0 {
			return false
		}
	}
	return true
}

// Count returns the number of events of a kind.
func (r *Result) Count(kind Kind) int {
	count := 0
	for index := range r.Events {
		if r.Events[index].Kind == kind {
			count++
		}
	}
	return count
}

// callerDelay is the time between the start of the daemons and of the callers.
const callerDelay = 1500 * time.Millisecond

// Run runs the schedule of one seed and checks the invariants.
func Run(ctx context.Context, config Config) (*Result, error) {
	directory, err := os.MkdirTemp(config.Directory, "seed-*")
	if err != nil {
		return nil, eris.Wrap(err, "create directory of the run")
	}
	s, err := newSite(config, directory)
	if err != nil {
		return nil, err
	}
	defer s.close()
	callerCtx, stop := context.WithCancel(ctx)
	defer stop()
	go s.router.probe(callerCtx)
	sleep(ctx, callerDelay)
	var wg sync.WaitGroup
	s.startCallers(callerCtx, &wg)
	faults := append(Faults(config.Seed, config.Faults, config.FaultPeriod), Series(config.Seed, config.Series, config.FaultPeriod)...)
	faults = append(faults, TargetFaults(config.Seed, config.TargetFaults, config.FaultPeriod)...)
	faults = append(faults, EntryFaults(config.Seed, config.EntryFaults, config.FaultPeriod)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	s.inject(ctx, faults)
	sleep(ctx, config.Bounds.Recover)
	s.performMaintenance(ctx)
	sleep(ctx, config.Cooldown)
	stop()
	wg.Wait()
	events := s.recorder.Events()
	return &Result{Seed: config.Seed, Faults: faults, Verdicts: Check(config.Bounds, events), Events: events}, ctx.Err()
}

// startCallers starts four kinds of traffic on every caller.
func (s *site) startCallers(ctx context.Context, wg *sync.WaitGroup) {
	patterns := []trafficPattern{
		{route: routeFeeds, isIdempotent: true, requestsPerFlow: 1000, maxPause: 300 * time.Millisecond},
		{route: routeForms, requestsPerFlow: 1000, maxPause: 3 * time.Second},
		{route: routeForms, requestsPerFlow: 1, maxPause: 300 * time.Millisecond},
		{route: routeExtra, isIdempotent: true, requestsPerFlow: 20, maxPause: 500 * time.Millisecond},
	}
	for index, c := range s.callers {
		for number, pattern := range patterns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.run(ctx, pattern, rand.New(rand.NewPCG(s.config.Seed, uint64(index*len(patterns)+number))))
			}()
		}
	}
}

// performMaintenance moves a route, drains a target and restarts all daemons, which then don't know
// the route's previous service. No faults happen meanwhile.
func (s *site) performMaintenance(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 2))
	s.moveRoute(random)
	s.withRandomTarget(random, s.drain)
	if ctx.Err() == nil {
		s.rollingRestart()
	}
}

// inject starts the faults at their times and returns when all are over.
func (s *site) inject(ctx context.Context, faults []Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, fault := range faults {
		sleep(ctx, time.Until(start.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			action := actionOf(fault.Action)
			action(s, rand.New(rand.NewPCG(fault.Seed, 1)))
		}()
	}
	wg.Wait()
}

// actionOf returns the action with a name.
func actionOf(name string) func(s *site, random *rand.Rand) {
	for _, choices := range []map[string]func(s *site, random *rand.Rand){actions, seriesActions, targetActions, entryActions} {
		if action := choices[name]; action != nil {
			return action
		}
	}
	panic("no action " + name) // schedules are drawn from these actions
}
