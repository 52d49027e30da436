package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/lab/report"
)

const (
	soakFaults   = 5
	soakFirst    = 1500 * time.Millisecond
	cutSpan      = 3 * time.Second
	maximumTries = 12
)

// RandomFaults draws a schedule of faults for a scenario from a seed. A daemon
// dies, stops or is cut off at most once, so that some always remain; two faults
// may fall on one moment.
func RandomFaults(scenario *Scenario, seed uint64) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	daemons := random.Perm(len(scenario.Zones) * scenario.DaemonsPerZone)
	span := int64(scenario.Duration - 2*soakFirst)
	var faults []Fault
	for range soakFaults {
		fault := Fault{At: (soakFirst + time.Duration(random.Int64N(span))).Round(time.Millisecond)}
		service := &scenario.Services[random.IntN(len(scenario.Services))]
		target := fmt.Sprintf("%s/%s-%d", service.Name, service.Name, 1+random.IntN(service.Targets))
		switch random.IntN(8) {
		case 0, 1:
			if len(daemons) < 4 {
				continue
			}
			fault.Do, fault.Daemon = FaultKill, daemons[0]
			daemons = daemons[1:]
			faults = append(faults, Fault{Do: FaultJoin, At: fault.At + time.Duration(random.Int64N(int64(cutSpan)))})
		case 2:
			if len(daemons) < 4 {
				continue
			}
			fault.Do, fault.Daemon = FaultStop, daemons[0]
			daemons = daemons[1:]
		case 3:
			fault.Do, fault.Daemon = FaultCut, daemons[len(daemons)-1]
			faults = append(faults, Fault{Do: FaultHeal, At: fault.At + cutSpan})
		case 4:
			fault.Do, fault.Target = FaultDrain, target
		case 5:
			fault.Do, fault.Service = FaultAdd, service.Name
		case 6:
			fault.Do, fault.Target, fault.Weight = FaultWeight, target, uint32(10+random.IntN(200))
		case 7:
			fault.Do = []FaultKind{FaultPlatformDown, FaultPlatformStale, FaultPlatformUp}[random.IntN(3)]
		}
		faults = append(faults, fault)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// SoakResult is one seed's run.
type SoakResult struct {
	Seed     uint64
	Faults   []Fault
	Report   *report.Report
	Err      error
	Shortest []Fault
}

// Soak runs a scenario under random faults for each seed, several at once, and
// hands each result to done, one at a time. A failing seed's history is stored in
// directory, and its schedule shortened as far as the failure stays.
func Soak(ctx context.Context, base *Scenario, seeds []uint64, parallel int, directory string, done func(SoakResult)) {
	queue := make(chan uint64)
	var waiting sync.WaitGroup
	var mutex sync.Mutex
	for range parallel {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for seed := range queue {
				result := soakOne(ctx, base, seed, directory)
				mutex.Lock()
				done(result)
				mutex.Unlock()
			}
		}()
	}
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		queue <- seed
	}
	close(queue)
	waiting.Wait()
}

func soakOne(ctx context.Context, base *Scenario, seed uint64, directory string) SoakResult {
	result := SoakResult{Seed: seed, Faults: RandomFaults(base, seed)}
	path := filepath.Join(directory, fmt.Sprintf("%s-seed-%d.cbor", base.Region, seed))
	result.Report, result.Err = runWithFaults(ctx, base, seed, result.Faults, path)
	if result.Err != nil || result.Report.Holds() {
		return result
	}
	result.Shortest = shorten(ctx, base, seed, result.Faults)
	return result
}

func runWithFaults(ctx context.Context, base *Scenario, seed uint64, faults []Fault, path string) (*report.Report, error) {
	scenario := *base
	scenario.Seed = seed
	scenario.Faults = faults
	scenario.Services = slices.Clone(base.Services)
	return Run(ctx, &scenario, Options{FailedHistoryPath: path})
}

// shorten leaves out one fault after the other as long as the run still fails.
// Runs are in real time, so a failure may also hide; what is left then is an
// upper bound.
func shorten(ctx context.Context, base *Scenario, seed uint64, faults []Fault) []Fault {
	kept := slices.Clone(faults)
	tries := 0
	for index := 0; index < len(kept) && tries < maximumTries && ctx.Err() == nil; tries++ {
		fewer := slices.Delete(slices.Clone(kept), index, index+1)
		tried, err := runWithFaults(ctx, base, seed, fewer, "")
		if err == nil && !tried.Holds() {
			kept = fewer
			continue
		}
		index++
	}
	return kept
}
