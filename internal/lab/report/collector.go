// Package report collects the measurements of a run and writes them as a text table, as JSON or as an
// HTML page with plots.
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/statistics"
)

// TargetLoad is the load of one target at one time.
type TargetLoad struct {
	Target      string
	Connections int
	Busy        int
	Accepted    uint64
}

// sample is the imbalance of one service at one time.
type sample struct {
	at          time.Duration
	connections statistics.Imbalance
	busy        statistics.Imbalance
}

// Collector collects measurements. It is safe for concurrent use.
type Collector struct {
	mutex        sync.Mutex
	mode         string
	seed         uint64
	latencies    map[latencyKey]*hdrhistogram.Histogram
	samples      map[string][]sample
	latestLoads  map[string][]TargetLoad
	costs        []DaemonCost
	longestStall time.Duration
	totalStall   time.Duration
	actions      map[string]uint64
	drops        map[string]uint64
}

type latencyKey struct {
	service string
	class   string
}

const (
	minLatency    = 1           // microseconds
	maxLatency    = 120_000_000 // microseconds
	latencyDigits = 3
	minMean       = 0.5 // below it, imbalance is not meaningful
)

func NewCollector(mode string, seed uint64) *Collector {
	return &Collector{
		mode: mode, seed: seed,
		latencies: map[latencyKey]*hdrhistogram.Histogram{}, samples: map[string][]sample{},
		latestLoads: map[string][]TargetLoad{}, actions: map[string]uint64{}, drops: map[string]uint64{},
	}
}

// AddLatency records one duration in a class's latency histogram.
func (c *Collector) AddLatency(service, class string, duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := latencyKey{service, class}
	histogram := c.latencies[key]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		c.latencies[key] = histogram
	}
	// Durations beyond the histogram's range are recorded as its maximum.
	_ = histogram.RecordValue(min(duration.Microseconds(), maxLatency))
}

// AddLoads records the loads of one service's targets.
func (c *Collector) AddLoads(at time.Duration, service string, loads []TargetLoad) {
	connections := make([]float64, 0, len(loads))
	busy := make([]float64, 0, len(loads))
	for _, load := range loads {
		connections = append(connections, float64(load.Connections))
		busy = append(busy, float64(load.Busy))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latestLoads[service] = loads
	c.samples[service] = append(c.samples[service], sample{at: at, connections: imbalanceOf(connections), busy: imbalanceOf(busy)})
}

// imbalanceOf returns the imbalance of values, or the zero value if their mean is too low.
func imbalanceOf(values []float64) statistics.Imbalance {
	imbalance, mean := statistics.ImbalanceOf(values)
	if mean < minMean {
		return statistics.Imbalance{}
	}
	return imbalance
}

// DaemonCost is the resource usage of one daemon over the run.
type DaemonCost struct {
	ControlBytesPerSecond float64
	// CoreShare is the processor time divided by the run's duration. CoreShare and ResidentBytes
	// are 0 if the daemon runs inside the lab's process.
	CoreShare     float64
	ResidentBytes float64
}

// minStall is the timer delay below which a stall isn't recorded.
const minStall = 20 * time.Millisecond

// AddStall records the delay of one of the lab's timers.
func (c *Collector) AddStall(delay time.Duration) {
	if delay < minStall {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.longestStall = max(c.longestStall, delay)
	c.totalStall += delay
}

// AddCost records the resource usage of one daemon.
func (c *Collector) AddCost(cost DaemonCost) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.costs = append(c.costs, cost)
}

// AddCounters adds one daemon's packet counters to the totals.
func (c *Collector) AddCounters(actions, drops map[string]uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, count := range actions {
		c.actions[name] += count
	}
	for name, count := range drops {
		c.drops[name] += count
	}
}

// Totals are measurements of the whole run.
type Totals struct {
	Duration    time.Duration
	CPUTime     time.Duration
	Dials       uint64
	FailedDials uint64
	// Attempts is the number of handshakes begun at targets.
	Attempts uint64
}

// Finish checks the history's invariants and returns the report.
func (c *Collector) Finish(totals Totals, events []history.Event) *Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := &Report{
		Mode: c.mode, Seed: c.seed, Seconds: totals.Duration.Seconds(),
		Dials: totals.Dials, FailedDials: totals.FailedDials, Attempts: totals.Attempts,
		ProcessCPUSeconds: totals.CPUTime.Seconds(),
		LongestStall:      c.longestStall.Seconds(), StalledSeconds: c.totalStall.Seconds(),
		Actions: c.actions, Drops: c.drops,
		Verdicts: history.Check(events), samples: c.samples, lastLoads: c.latestLoads,
	}
	r.countEvents(events)
	r.addLatencies(c.latencies)
	r.addImbalance(c.samples)
	r.addDaemonCosts(c.costs)
	return r
}
