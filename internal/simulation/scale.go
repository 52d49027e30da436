package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/resource"
)

// ScaleConfig is a run of hollow daemons: whole control cores without sockets
// or data path, many to a process.
type ScaleConfig struct {
	Members  int
	Zones    int
	Services int
	Targets  int
	// Changes are made one a ChangeInterval; Kills die without a word, Pauses
	// freeze for PauseSpan, all spread over the run.
	Changes        int
	ChangeInterval time.Duration
	Kills          int
	Pauses         int
	PauseSpan      time.Duration
	Seed           uint64
}

// ScaleResult is what one size cost.
type ScaleResult struct {
	Members  int     `json:"members"`
	Services int     `json:"services"`
	Targets  int     `json:"targets"`
	Seconds  float64 `json:"virtual_seconds"`
	// DatagramRate and StreamRate are bytes a second sent by a daemon; the mean
	// and the highest of any, the voters among them.
	DatagramRate        float64 `json:"datagram_bytes_per_second_mean"`
	DatagramRateHighest float64 `json:"datagram_bytes_per_second_max"`
	StreamRate          float64 `json:"stream_bytes_per_second_mean"`
	StreamRateHighest   float64 `json:"stream_bytes_per_second_max"`
	// ProcessorShare is of one core, for one daemon: processor time of this
	// process by virtual time and members. It counts the simulator too.
	ProcessorShare float64 `json:"core_share_per_daemon"`
	// HeapBytes is live memory by member.
	HeapBytes float64 `json:"heap_bytes_per_daemon"`
	// InForce is from acceptance until the last live daemon has the change.
	InForceP50, InForceP99, InForceMax time.Duration
	Accepted                           int `json:"accepted"`
	// Detection is from a death until the last live daemon knows it.
	DetectionP50, DetectionMax time.Duration
	Undetected                 int `json:"undetected"`
	// FalseDeaths counts, over all daemons' views at the run's end, the live
	// daemons missing in a view.
	FalseDeaths int      `json:"false_deaths"`
	Violations  []string `json:"violations"`
}

const (
	formationSpan  = 20 * time.Second
	joinSpan       = 40 * time.Second
	scaleStep      = 100 * time.Millisecond
	detectionLimit = 90 * time.Second
	settleSpan     = 30 * time.Second
)

// scaleRun is one run under way.
type scaleRun struct {
	config  ScaleConfig
	fleet   *Fleet
	random  *rand.Rand
	result  ScaleResult
	pending []pendingChange
	deaths  []death
	inForce []time.Duration
	found   []time.Duration
}

type pendingChange struct {
	revision uint64
	at       time.Time
}

type death struct {
	daemon int
	at     time.Time
}

// Scale runs one size.
func Scale(config ScaleConfig) ScaleResult {
	zones := make([]string, config.Zones)
	for index := range zones {
		zones[index] = fmt.Sprint("zone-", index)
	}
	run := &scaleRun{
		config: config,
		fleet:  NewFleet(config.Seed, config.Members, zones, control.DefaultLANConfig(), DefaultNetworkConfig()),
		random: rand.New(rand.NewPCG(config.Seed, 3)),
		result: ScaleResult{Members: config.Members, Services: config.Services, Targets: config.Targets},
	}
	run.form()
	run.play()
	run.countFalseDeaths()
	run.measureMemory()
	return run.finish()
}

// form starts the daemons over a while and lays the catalog's load before the
// measurement begins.
func (r *scaleRun) form() {
	first := min(9, r.config.Members)
	r.fleet.SetSeeds(r.fleet.seeds[:first])
	for index := range first {
		r.fleet.Start(index)
	}
	r.fleet.Clock.Advance(formationSpan)
	r.preload()
	for index := first; index < r.config.Members; index++ {
		r.fleet.Clock.After(time.Duration(r.random.Int64N(int64(joinSpan))), func() { r.fleet.Start(index) })
	}
	r.fleet.Clock.Advance(joinSpan + settleSpan)
}

// preload declares the services and targets in batches.
func (r *scaleRun) preload() {
	for number := range r.config.Services {
		r.submit(createServiceChange(number), nil)
		if number%50 == 49 {
			r.fleet.Clock.Advance(time.Second)
		}
	}
	r.fleet.Clock.Advance(5 * time.Second)
	for number := range r.config.Targets {
		r.submit(addTargetChange(number, r.config.Services), nil)
		if number%50 == 49 {
			r.fleet.Clock.Advance(time.Second)
		}
	}
	r.fleet.Clock.Advance(settleSpan)
}

func createServiceChange(number int) *catalog.Change {
	return &catalog.Change{
		RequestIdentifier: fmt.Sprint("service-", number), Operation: catalog.CreateService,
		Service: catalog.Service{
			Name: fmt.Sprint("service-", number), Protocol: catalog.ProtocolQUIC, Priority: catalog.PriorityStandard,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 443),
		},
	}
}

func addTargetChange(number, services int) *catalog.Change {
	return &catalog.Change{
		RequestIdentifier: fmt.Sprint("target-", number), Operation: catalog.AddTarget,
		Service: catalog.Service{Name: fmt.Sprint("service-", number%services)},
		Target: catalog.Target{
			Name: fmt.Sprint("target-", number), Zone: "zone-0", Weight: 100,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(number >> 8), byte(number)}), 443),
		},
	}
}

// submit sends a change through a live daemon.
func (r *scaleRun) submit(change *catalog.Change, done func(control.ProposalResult)) {
	for {
		via := r.random.IntN(len(r.fleet.Daemons))
		daemon := r.fleet.Daemons[via]
		if daemon.Core != nil && !r.fleet.Clock.Now().Before(daemon.PausedUntil) {
			r.fleet.Submit(via, change, func(result control.ProposalResult) {
				if done != nil {
					done(result)
				}
			})
			return
		}
	}
}

func (r *scaleRun) play() {
	span := time.Duration(r.config.Changes)*r.config.ChangeInterval + settleSpan
	r.schedule(span)
	for _, daemon := range r.fleet.Daemons {
		daemon.DatagramBytes, daemon.StreamBytes = 0, 0
	}
	r.fleet.MeasureStreams = true
	started, processor := r.fleet.Clock.Now(), resource.ProcessorTime()
	for r.fleet.Clock.Now().Sub(started) < span {
		r.fleet.Clock.Advance(scaleStep)
		r.observeChanges()
		r.observeDeaths()
	}
	r.result.Seconds = span.Seconds()
	used := resource.ProcessorTime() - processor
	r.result.ProcessorShare = used.Seconds() / span.Seconds() / float64(r.config.Members)
	r.measureTraffic(span)
	limit := r.fleet.Clock.Now().Add(detectionLimit)
	for len(r.deaths) > 0 && r.fleet.Clock.Now().Before(limit) {
		r.fleet.Clock.Advance(scaleStep)
		r.observeDeaths()
	}
	r.result.Undetected = len(r.deaths)
}

func (r *scaleRun) schedule(span time.Duration) {
	for number := range r.config.Changes {
		r.fleet.Clock.After(time.Duration(number)*r.config.ChangeInterval, func() {
			change := &catalog.Change{
				RequestIdentifier: fmt.Sprint("change-", number), Operation: catalog.UpdateService,
				Service: catalog.Service{
					Name:   fmt.Sprint("service-", number%r.config.Services),
					Limits: catalog.Limits{NewFlowsPerSecond: uint32(number + 1)},
				},
			}
			r.submit(change, func(result control.ProposalResult) {
				if result.Status == control.ProposalDecided && result.Outcome.Refusal == nil {
					r.result.Accepted++
					r.pending = append(r.pending, pendingChange{revision: result.Outcome.Revision, at: r.fleet.Clock.Now()})
				}
			})
		})
	}
	victims := r.random.Perm(r.config.Members)
	for position := range r.config.Kills {
		victim := victims[position]
		r.fleet.Clock.After(time.Duration(r.random.Int64N(int64(span/2))), func() {
			r.deaths = append(r.deaths, death{daemon: victim, at: r.fleet.Clock.Now()})
			r.fleet.Crash(victim)
		})
	}
	for position := range r.config.Pauses {
		victim := victims[r.config.Kills+position]
		r.fleet.Clock.After(time.Duration(r.random.Int64N(int64(span/2))), func() { r.fleet.Pause(victim, r.config.PauseSpan) })
	}
}

// observeChanges notes the changes that every live, waking daemon has in force.
func (r *scaleRun) observeChanges() {
	now := r.fleet.Clock.Now()
	lowest := ^uint64(0)
	for _, daemon := range r.fleet.Daemons {
		if daemon.Core != nil && !now.Before(daemon.PausedUntil.Add(time.Second)) {
			lowest = min(lowest, daemon.Core.State().Revision)
		}
	}
	r.pending = slices.DeleteFunc(r.pending, func(change pendingChange) bool {
		if lowest < change.revision {
			return false
		}
		r.inForce = append(r.inForce, now.Sub(change.at))
		return true
	})
}

func (r *scaleRun) observeDeaths() {
	now := r.fleet.Clock.Now()
	r.deaths = slices.DeleteFunc(r.deaths, func(dead death) bool {
		address := r.fleet.Daemons[dead.daemon].Address
		for _, daemon := range r.fleet.Daemons {
			if daemon.Core == nil || now.Before(daemon.PausedUntil) {
				continue
			}
			if slices.ContainsFunc(daemon.Core.Live(), func(member membership.Member) bool { return member.Identity.Address == address }) {
				return false
			}
		}
		r.found = append(r.found, now.Sub(dead.at))
		return true
	})
}

func (r *scaleRun) measureTraffic(span time.Duration) {
	for _, daemon := range r.fleet.Daemons {
		datagrams := float64(daemon.DatagramBytes) / span.Seconds()
		streams := float64(daemon.StreamBytes) / span.Seconds()
		r.result.DatagramRate += datagrams / float64(r.config.Members)
		r.result.StreamRate += streams / float64(r.config.Members)
		r.result.DatagramRateHighest = max(r.result.DatagramRateHighest, datagrams)
		r.result.StreamRateHighest = max(r.result.StreamRateHighest, streams)
	}
}

// measureMemory is what the cores hold: events on their way and the fleet's own
// records are dropped first.
func (r *scaleRun) measureMemory() {
	r.fleet.Clock.queue = nil
	r.fleet.states = nil
	r.fleet.committed = nil
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	r.result.HeapBytes = float64(stats.HeapAlloc) / float64(r.config.Members)
}

func (r *scaleRun) countFalseDeaths() {
	for _, daemon := range r.fleet.Daemons {
		if daemon.Core == nil {
			continue
		}
		held := map[netip.AddrPort]bool{}
		for _, member := range daemon.Core.Live() {
			held[member.Identity.Address] = true
		}
		for _, other := range r.fleet.Daemons {
			if other.Core != nil && !held[other.Address] {
				r.result.FalseDeaths++
			}
		}
	}
}

func (r *scaleRun) finish() ScaleResult {
	slices.Sort(r.inForce)
	slices.Sort(r.found)
	r.result.InForceP50, r.result.InForceP99, r.result.InForceMax = quantile(r.inForce, 0.5), quantile(r.inForce, 0.99), quantile(r.inForce, 1)
	r.result.DetectionP50, r.result.DetectionMax = quantile(r.found, 0.5), quantile(r.found, 1)
	r.result.Violations = r.fleet.Violations
	return r.result
}

func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}
