package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/lab/report"
	"github.com/passtray/passtray/internal/lab/workload"
	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/resource"
)

const (
	startupTimeout     = 30 * time.Second
	sampleInterval     = 250 * time.Millisecond
	progressInterval   = 2 * time.Second
	stallProbeInterval = 10 * time.Millisecond
	// settleTime is the time between the end of the load and the collection of results.
	settleTime = 2 * time.Second
)

// Options are settings of a run that aren't part of the scenario.
type Options struct {
	// StartDaemon starts each daemon; nil runs them inside this process.
	StartDaemon StartDaemon
	Logger      logr.Logger
	Progress    io.Writer
	// HistoryPath, if set, is the file to save the history to.
	HistoryPath string
	// FailedHistoryPath, if set, is the file to save it to if an invariant was violated.
	FailedHistoryPath string
}

// Run runs a scenario and returns its report.
func Run(ctx context.Context, scenario *Scenario, options Options) (*report.Report, error) {
	events := history.NewLog()
	if options.StartDaemon == nil {
		options.StartDaemon = inProcess(options.Logger)
	}
	c, err := newCluster(scenario, options.StartDaemon, events)
	if err != nil {
		return nil, err
	}
	defer c.close()
	run := &run{cluster: c, options: options, collector: report.NewCollector(string(scenario.Mode), scenario.Seed)}
	if err := run.prepare(ctx); err != nil {
		return nil, err
	}
	run.generateLoad(ctx)
	return run.finish(ctx)
}

type run struct {
	*cluster
	options         Options
	collector       *report.Collector
	callers         []*workload.Callers
	wg              sync.WaitGroup
	startedAt       time.Time
	statsBefore     map[string]node.Stats
	processorBefore time.Duration
}

func (r *run) printProgress(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

// start runs a task in a goroutine that generateLoad waits for.
func (r *run) start(task func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		task()
	}()
}

func (r *run) prepare(ctx context.Context) error {
	start := time.Now()
	for {
		if ready := r.fabric.ReadyCount(); ready == len(r.daemons) {
			break
		}
		if time.Since(start) > startupTimeout {
			return eris.Errorf("%d of %d daemons are ready after %s", r.fabric.ReadyCount(), len(r.daemons), startupTimeout)
		}
		select {
		case <-time.After(sampleInterval / 5):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.printProgress("%d daemons ready after %.1f s", len(r.daemons), time.Since(start).Seconds())
	addStart := time.Now()
	if err := r.addServicesAndTargets(); err != nil {
		return err
	}
	r.printProgress("%d targets added in %.1f s", len(r.runningTargets()), time.Since(addStart).Seconds())
	return nil
}

func (r *run) generateLoad(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, r.scenario.Duration)
	defer cancel()
	r.startedAt = time.Now()
	r.statsBefore = r.daemonStats()
	r.processorBefore = resource.ProcessorTime()
	for index := range r.scenario.Services {
		service := &r.scenario.Services[index]
		callers := workload.NewCallers(workload.CallerConfig{
			Service: service.Name, Address: r.serviceAddress(index),
			OncePerSecond: service.OncePerSecond, Feeds: service.Feeds, UploadsPerSecond: service.UploadsPerSecond,
			UploadBytes: service.UploadBytes, ResponseBytes: service.ResponseBytes,
			Deadline: service.Deadline, FeedStall: service.FeedStall,
			History: r.history, Record: func(class workload.Class, duration time.Duration) {
				r.collector.AddLatency(service.Name, string(class), duration)
			},
		}, r.scenario.Seed+uint64(index))
		r.callers = append(r.callers, callers)
		callers.Run(loadCtx, r.start)
	}
	r.start(func() { r.sample(loadCtx) })
	r.start(func() { r.watchStalls(loadCtx) })
	r.injectFaults(loadCtx)
	<-loadCtx.Done()
	r.wg.Wait()
}

func (r *run) injectFaults(ctx context.Context) {
	faults := slices.Clone(r.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for index := range faults {
		select {
		case <-time.After(time.Until(r.startedAt.Add(faults[index].At))):
		case <-ctx.Done():
			return
		}
		r.printProgress("%6.1fs fault %s", time.Since(r.startedAt).Seconds(), faults[index])
		if err := r.inject(ctx, &faults[index], r.start); err != nil {
			// The run continues: a change that no leader could commit has no effect.
			r.printProgress("%6.1fs fault %s failed: %s", time.Since(r.startedAt).Seconds(), faults[index], err)
		}
	}
}

// sample records the targets' loads every sampleInterval.
func (r *run) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	lastProgress := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		at := time.Since(r.startedAt)
		loads := map[string][]report.TargetLoad{}
		for _, target := range r.runningTargets() {
			if target.IsDraining() {
				continue // its load doesn't result from balancing
			}
			connections, busy := target.Load()
			loads[target.Service()] = append(loads[target.Service()], report.TargetLoad{
				Target: target.FullName(), Connections: connections, Busy: busy, Accepted: target.Accepted(),
			})
		}
		for service, targets := range loads {
			r.collector.AddLoads(at, service, targets)
		}
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			r.printStatus(at)
		}
	}
}

// watchStalls measures delays of a ticker, which show whether the machine was too busy for
// meaningful latency measurements.
func (r *run) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallProbeInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		r.collector.AddStall(now.Sub(last) - stallProbeInterval)
		last = now
	}
}

func (r *run) printStatus(at time.Duration) {
	answered, refused, unknown, feeds := uint64(0), uint64(0), uint64(0), int64(0)
	for _, callers := range r.callers {
		answered += callers.Answered.Load()
		refused += callers.NotRun.Load()
		unknown += callers.Unknown.Load()
		feeds += callers.OpenFeeds.Load()
	}
	r.printProgress("%6.1fs answered %d, not run %d, unknown %d, feeds open %d, daemons ready %d",
		at.Seconds(), answered, refused, unknown, feeds, r.fabric.ReadyCount())
}

func (r *run) daemonStats() map[string]node.Stats {
	stats := map[string]node.Stats{}
	for _, slot := range r.liveDaemons() {
		stats[slot.name] = slot.running.Stats()
	}
	return stats
}

func (r *run) finish(ctx context.Context) (*report.Report, error) {
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	span := time.Since(r.startedAt)
	for name, stats := range r.daemonStats() {
		if statsBefore, ranBefore := r.statsBefore[name]; ranBefore && stats.ControlBytes >= statsBefore.ControlBytes {
			r.collector.AddCost(report.DaemonCost{
				ControlBytesPerSecond: float64(stats.ControlBytes-statsBefore.ControlBytes) / span.Seconds(),
				CoreShare:             (stats.CPUSeconds - statsBefore.CPUSeconds) / span.Seconds(),
				ResidentBytes:         stats.ResidentBytes,
			})
		}
		r.collector.AddCounters(stats.Actions, stats.Drops)
	}
	r.history.Add(history.Event{Kind: history.RunEnded})
	events := r.history.Events()
	if r.options.HistoryPath != "" {
		if err := history.Save(r.options.HistoryPath, events); err != nil {
			return nil, err
		}
	}
	attempts := r.endedTargets.attempts
	for _, target := range r.runningTargets() {
		attempts += target.Attempts()
	}
	dials, failed := uint64(0), uint64(0)
	for _, callers := range r.callers {
		dials += callers.Dials.Load()
		failed += callers.DialErrors.Load()
	}
	result := r.collector.Finish(report.Totals{
		Duration: span, CPUTime: resource.ProcessorTime() - r.processorBefore, Dials: dials, FailedDials: failed, Attempts: attempts,
	}, events)
	if r.options.FailedHistoryPath != "" && !result.Holds() {
		return result, history.Save(r.options.FailedHistoryPath, events)
	}
	return result, nil
}
