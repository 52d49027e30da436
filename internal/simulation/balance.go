package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/statistics"
)

// BalancePolicy is a way to choose a target: that of daemons, a part of it, or a baseline.
type BalancePolicy string

const (
	// PolicyFull is the policy of daemons.
	PolicyFull BalancePolicy = "passtray"
	// PolicyNoReports uses only the daemon's own picks, PolicyNoPicks only the targets' reports.
	PolicyNoReports BalancePolicy = "without reports"
	PolicyNoPicks   BalancePolicy = "without own picks"
	// PolicyRandom, PolicyModulo and PolicyRendezvous are baselines.
	PolicyRandom     BalancePolicy = "random"
	PolicyModulo     BalancePolicy = "modulo"
	PolicyRendezvous BalancePolicy = "rendezvous"
)

// BalancePolicies returns all policies in the order of result tables.
func BalancePolicies() []BalancePolicy {
	return []BalancePolicy{PolicyFull, PolicyNoReports, PolicyNoPicks, PolicyRandom, PolicyModulo, PolicyRendezvous}
}

// BalanceConfig describes a load and the reports that daemons get of it.
type BalanceConfig struct {
	Policy  BalancePolicy
	Daemons int
	Targets int
	// FeedsPerSecond long-lived flows open per second and last FeedLife on average.
	// RequestsPerSecond short flows occupy a slot for RequestWork each.
	FeedsPerSecond    float64
	FeedLife          time.Duration
	RequestsPerSecond float64
	RequestWork       time.Duration
	// ReportInterval is the interval at which each open feed delivers its target's report to a random
	// daemon, ReportLag the age of the report on delivery.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// Liars is the number of targets that always report a load of 0.
	Liars int
	Span  time.Duration
	Seed  uint64
}

// BalanceResult is the imbalance over the second half of a run.
type BalanceResult struct {
	Policy               BalancePolicy
	ConnectionsMaxToMean float64
	ConnectionsVariation float64
	BusyMaxToMean        float64
	// Waited is the share of requests that found all slots of their target busy.
	Waited float64
}

const (
	slotsPerTarget  = 2
	balanceSampling = 100 * time.Millisecond
)

type balanceTarget struct {
	connections int
	busy        int
	reportsIdle bool
}

func (t *balanceTarget) report() encapsulation.Report {
	report := encapsulation.Report{
		State: encapsulation.TargetAccepting, BusySlots: uint16(t.busy), Slots: slotsPerTarget,
		Connections: uint32(t.connections), MaximumConnections: 2000,
	}
	if t.reportsIdle {
		report.BusySlots, report.Connections = 0, 0
	}
	return report
}

type balanceRun struct {
	config     BalanceConfig
	clock      *Clock
	random     *rand.Rand
	targets    []*balanceTarget
	candidates [][]balance.Candidate
	nodes      []ownership.Node
	requests   int
	waited     int
	samples    int
	result     BalanceResult
}

// Balance runs one policy in virtual time.
func Balance(config BalanceConfig) BalanceResult {
	run := &balanceRun{config: config, clock: NewClock(), random: rand.New(rand.NewPCG(config.Seed, 5))}
	run.result.Policy = config.Policy
	for index := range config.Targets {
		run.targets = append(run.targets, &balanceTarget{reportsIdle: index < config.Liars})
		run.nodes = append(run.nodes, ownership.Node{Seed: ownership.SeedOf([]byte{byte(index)}), Weight: 1})
	}
	for range config.Daemons {
		candidates := make([]balance.Candidate, config.Targets)
		for index := range candidates {
			candidates[index] = balance.Candidate{Signal: &balance.Signal{}, Weight: 100, Cap: 2000}
		}
		run.candidates = append(run.candidates, candidates)
	}
	run.scheduleArrivals(config.FeedsPerSecond, run.openFeed)
	run.scheduleArrivals(config.RequestsPerSecond, run.request)
	run.clock.After(config.Span/2, run.sample)
	run.clock.Advance(config.Span)
	run.finish()
	return run.result
}

func (r *balanceRun) scheduleArrivals(perSecond float64, call func()) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		call()
		r.clock.After(r.exponential(time.Duration(float64(time.Second)/perSecond)), next)
	}
	r.clock.After(r.exponential(time.Duration(float64(time.Second)/perSecond)), next)
}

func (r *balanceRun) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// pickTarget picks a target for a flow at the daemon that owns it.
func (r *balanceRun) pickTarget() int {
	hash := r.random.Uint64()
	switch r.config.Policy {
	case PolicyRandom:
		return r.random.IntN(len(r.targets))
	case PolicyModulo:
		return int(hash % uint64(len(r.targets)))
	case PolicyRendezvous:
		return ownership.Rendezvous(hash, r.nodes)
	}
	candidates := r.candidates[hash%uint64(r.config.Daemons)]
	request := balance.Request{Now: r.clock.Now(), LeaseHeld: true}
	picked := balance.Pick(&request, candidates, r.random)
	if r.config.Policy != PolicyNoPicks {
		candidates[picked].Signal.RecordPick(r.clock.Now())
	}
	return picked
}

// deliverReport delivers a target's current report to a random daemon after ReportLag.
func (r *balanceRun) deliverReport(index int) {
	if r.config.Policy == PolicyNoReports {
		return
	}
	report := r.targets[index].report()
	daemon := r.random.IntN(r.config.Daemons)
	r.clock.After(r.config.ReportLag, func() {
		r.candidates[daemon][index].Signal.Observe(r.clock.Now(), &report)
	})
}

func (r *balanceRun) openFeed() {
	index := r.pickTarget()
	r.targets[index].connections++
	isOpen := true
	var report func()
	report = func() {
		if isOpen {
			r.deliverReport(index)
			r.clock.After(r.config.ReportInterval, report)
		}
	}
	report()
	r.clock.After(r.exponential(r.config.FeedLife), func() {
		isOpen = false
		r.targets[index].connections--
	})
}

func (r *balanceRun) request() {
	index := r.pickTarget()
	target := r.targets[index]
	target.connections++
	r.requests++
	if target.busy >= slotsPerTarget {
		r.waited++
	}
	target.busy++
	r.deliverReport(index)
	// When all slots are busy, requests share them and take longer.
	work := r.exponential(r.config.RequestWork) * time.Duration(1+target.busy/(slotsPerTarget+1))
	r.clock.After(work, func() {
		r.deliverReport(index)
		target.busy--
		target.connections--
	})
}

func (r *balanceRun) sample() {
	connections := make([]float64, 0, len(r.targets))
	busy := make([]float64, 0, len(r.targets))
	for _, target := range r.targets {
		connections = append(connections, float64(target.connections))
		busy = append(busy, float64(target.busy))
	}
	connectionImbalance, _ := statistics.ImbalanceOf(connections)
	busyImbalance, _ := statistics.ImbalanceOf(busy)
	r.result.ConnectionsMaxToMean += connectionImbalance.MaxToMean
	r.result.ConnectionsVariation += connectionImbalance.Variation
	r.result.BusyMaxToMean += busyImbalance.MaxToMean
	r.samples++
	r.clock.After(balanceSampling, r.sample)
}

func (r *balanceRun) finish() {
	samples := float64(max(1, r.samples))
	r.result.ConnectionsMaxToMean /= samples
	r.result.ConnectionsVariation /= samples
	r.result.BusyMaxToMean /= samples
	r.result.Waited = float64(r.waited) / float64(max(1, r.requests))
}
