// Package report gathers a run's measurements and prints them: a table for a
// person, JSON for scripts, a page with plots.
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/statistics"
)

// TargetLoad is one target's load at one moment.
type TargetLoad struct {
	Target      string
	Connections int
	Busy        int
	Accepted    uint64
}

// sample is the imbalance of one service at one moment.
type sample struct {
	at          time.Duration
	connections statistics.Imbalance
	busy        statistics.Imbalance
}

// Collector gathers measurements. It is safe for concurrent use.
type Collector struct {
	mutex     sync.Mutex
	mode      string
	seed      uint64
	latencies map[latencyKey]*hdrhistogram.Histogram
	samples   map[string][]sample
	last      map[string][]TargetLoad
	costs     []DaemonCost
	stall     time.Duration
	stalled   time.Duration
	actions   map[string]uint64
	drops     map[string]uint64
}

type latencyKey struct {
	service string
	class   string
}

const (
	lowestLatency  = 1           // microseconds
	highestLatency = 120_000_000 // microseconds
	latencyDigits  = 3
	minimumMean    = 0.5 // below it a ratio to the mean says nothing
)

// NewCollector makes a collector.
func NewCollector(mode string, seed uint64) *Collector {
	return &Collector{
		mode: mode, seed: seed,
		latencies: map[latencyKey]*hdrhistogram.Histogram{}, samples: map[string][]sample{},
		last: map[string][]TargetLoad{}, actions: map[string]uint64{}, drops: map[string]uint64{},
	}
}

// Latency records how long something took.
func (c *Collector) Latency(service, class string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := latencyKey{service, class}
	histogram := c.latencies[key]
	if histogram == nil {
		histogram = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		c.latencies[key] = histogram
	}
	// Longer than the longest is recorded as the longest.
	_ = histogram.RecordValue(min(took.Microseconds(), highestLatency))
}

// Load records the loads of one service's targets.
func (c *Collector) Load(at time.Duration, service string, loads []TargetLoad) {
	connections := make([]float64, 0, len(loads))
	busy := make([]float64, 0, len(loads))
	for _, load := range loads {
		connections = append(connections, float64(load.Connections))
		busy = append(busy, float64(load.Busy))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last[service] = loads
	c.samples[service] = append(c.samples[service], sample{at: at, connections: telling(connections), busy: telling(busy)})
}

// telling returns the imbalance of values that are enough to say something.
func telling(values []float64) statistics.Imbalance {
	imbalance, mean := statistics.ImbalanceOf(values)
	if mean < minimumMean {
		return statistics.Imbalance{}
	}
	return imbalance
}

// DaemonCost is what one daemon spent over the run.
type DaemonCost struct {
	ControlBytesPerSecond float64
	// CoreShare and ResidentBytes are 0 for a daemon that shares its process.
	CoreShare     float64
	ResidentBytes float64
}

// stallFloor is the lateness that any machine shows now and then.
const stallFloor = 20 * time.Millisecond

// Stall records by how much a timer of the lab came late.
func (c *Collector) Stall(late time.Duration) {
	if late < stallFloor {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stall = max(c.stall, late)
	c.stalled += late
}

// Cost records one daemon's cost.
func (c *Collector) Cost(cost DaemonCost) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.costs = append(c.costs, cost)
}

// Daemon adds one daemon's counters.
func (c *Collector) Daemon(actions, drops map[string]uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, count := range actions {
		c.actions[name] += count
	}
	for name, count := range drops {
		c.drops[name] += count
	}
}

// Totals are what the run itself counted.
type Totals struct {
	Span        time.Duration
	Processor   time.Duration
	Dials       uint64
	FailedDials uint64
	// Attempts are the handshakes begun at targets.
	Attempts uint64
}

// Finish judges the history and makes the report.
func (c *Collector) Finish(totals Totals, events []history.Event) *Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	made := &Report{
		Mode: c.mode, Seed: c.seed, Seconds: totals.Span.Seconds(),
		Dials: totals.Dials, FailedDials: totals.FailedDials, Attempts: totals.Attempts,
		ProcessCPUSeconds: totals.Processor.Seconds(),
		LongestStall:      c.stall.Seconds(), StalledSeconds: c.stalled.Seconds(),
		Actions: c.actions, Drops: c.drops,
		Verdicts: history.Check(events), samples: c.samples, lastLoads: c.last,
	}
	made.countEvents(events)
	made.addLatencies(c.latencies)
	made.addImbalance(c.samples)
	made.addCosts(c.costs)
	return made
}
