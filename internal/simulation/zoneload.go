package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/loadshare"
)

// ZoneLoadConfig describes a zone's load: long-lived flows with occasional requests, opened through
// many daemons.
type ZoneLoadConfig struct {
	Daemons int
	Targets int
	// FlowsPerTarget is the mean number of open flows per target, FlowLife their mean duration and
	// RequestsPerSecond the request rate of each.
	FlowsPerTarget    float64
	FlowLife          time.Duration
	RequestsPerSecond float64
	// Work is how long a request occupies one of a target's slots.
	Work time.Duration
	// GossipFlows enables the gossip of open flows between daemons.
	GossipFlows bool
	// FailShare of the targets fail halfway through the run, when BurstShare more flows open.
	FailShare  float64
	BurstShare float64
	Span       time.Duration
	Seed       uint64
}

// ZoneLoadResult holds the measurements of a run.
type ZoneLoadResult struct {
	// FlowsMaxToMean and RequestsMaxToMean compare the busiest target with the mean of the targets
	// that survive, over the second half.
	FlowsMaxToMean    float64
	RequestsMaxToMean float64
	// WaitedP99 is the 99th percentile of the time that requests waited for a slot.
	WaitedP99 time.Duration
	// MessageBytes is the mean number of bytes that a daemon sends per second.
	MessageBytes float64
}

const (
	zoneGossipInterval = 300 * time.Millisecond
	zoneGossipFanout   = 2
	zoneName           = "zone"
)

type zoneTarget struct {
	flows     int
	flowTime  time.Duration
	changed   time.Time
	requests  int
	freeAt    [slotsPerTarget]time.Time
	isRemoved bool
}

type zoneDaemon struct {
	exchange   *loadshare.Exchange
	candidates []balance.Candidate
	open       map[uint32]int
}

type zoneLoad struct {
	config    ZoneLoadConfig
	clock     *Clock
	random    *rand.Rand
	startedAt time.Time
	targets   []*zoneTarget
	daemons   []*zoneDaemon
	waits     []time.Duration
	bytes     int
}

// ZoneLoad runs a zone's load in virtual time.
func ZoneLoad(config ZoneLoadConfig) ZoneLoadResult {
	run := &zoneLoad{config: config, clock: NewClock(), random: rand.New(rand.NewPCG(config.Seed, 21))}
	run.startedAt = run.clock.Now()
	for range config.Targets {
		run.targets = append(run.targets, &zoneTarget{changed: run.startedAt})
	}
	for index := range config.Daemons {
		run.daemons = append(run.daemons, run.newDaemon(index))
	}
	flows := int(config.FlowsPerTarget * float64(config.Targets))
	run.openMany(0, flows)
	run.clock.After(config.Span/2, func() { run.failTargets(int(float64(flows) * config.BurstShare)) })
	run.clock.Advance(config.Span)
	return run.result()
}

func (z *zoneLoad) newDaemon(index int) *zoneDaemon {
	daemon := &zoneDaemon{exchange: loadshare.New(machineAddress(index), 0), open: map[uint32]int{}}
	for range z.targets {
		daemon.candidates = append(daemon.candidates, balance.Candidate{Signal: &balance.Signal{}, Weight: slotsPerTarget, Slots: slotsPerTarget, Zone: zoneName})
	}
	if z.config.GossipFlows {
		z.clock.After(time.Duration(z.random.Int64N(int64(zoneGossipInterval))), func() { z.gossip(daemon) })
	}
	return daemon
}

// gossip sends a daemon's counts to random peers and adds up the received ones.
func (z *zoneLoad) gossip(daemon *zoneDaemon) {
	now := z.clock.Now()
	daemon.exchange.Tick(now, func() map[uint32]int { return daemon.open })
	for range zoneGossipFanout {
		message := daemon.exchange.Message(now)
		z.bytes += len(message)
		z.daemons[z.random.IntN(len(z.daemons))].exchange.HandleMessage(now, message)
	}
	totals, areComplete := daemon.exchange.Totals(now)
	for index := range daemon.candidates {
		open := daemon.open[zoneToken(index)]
		if areComplete {
			open = totals[loadshare.MarkOf(zoneToken(index))]
		}
		daemon.candidates[index].Signal.SetOpenFlows(open)
	}
	z.clock.After(zoneGossipInterval, func() { z.gossip(daemon) })
}

// zoneToken returns the token of a target.
func zoneToken(index int) uint32 { return uint32(index) << 16 }

// openMany opens flows within half a second. Each is replaced when it ends.
func (z *zoneLoad) openMany(after time.Duration, count int) {
	for range count {
		z.clock.After(after+time.Duration(z.random.Int64N(int64(500*time.Millisecond))), z.open)
	}
}

func (z *zoneLoad) open() {
	now := z.clock.Now()
	daemon := z.daemons[z.random.IntN(len(z.daemons))]
	request := balance.Request{Now: now, Zone: zoneName, LeaseHeld: true, PrefersZone: true, KnowsOpenFlows: z.config.GossipFlows}
	index := balance.Pick(&request, daemon.candidates, z.random)
	daemon.candidates[index].Signal.RecordPick(now)
	target := z.targets[index]
	target.addFlows(now, z.measuredFrom(), 1)
	daemon.open[zoneToken(index)]++
	ends := now.Add(time.Duration(z.random.ExpFloat64() * float64(z.config.FlowLife)))
	z.clock.After(ends.Sub(now), func() { z.close(daemon, index) })
	z.request(target, ends)
}

func (z *zoneLoad) close(daemon *zoneDaemon, index int) {
	z.targets[index].addFlows(z.clock.Now(), z.measuredFrom(), -1)
	if daemon.open[zoneToken(index)]--; daemon.open[zoneToken(index)] == 0 {
		delete(daemon.open, zoneToken(index))
	}
	z.openMany(0, 1)
}

// measuredFrom returns the time at which measurements begin.
func (z *zoneLoad) measuredFrom() time.Time { return z.startedAt.Add(z.config.Span / 2) }

// addFlows records that flows were opened or closed.
func (t *zoneTarget) addFlows(now, measuredFrom time.Time, delta int) {
	if since := t.changed; now.After(measuredFrom) {
		if since.Before(measuredFrom) {
			since = measuredFrom
		}
		t.flowTime += time.Duration(t.flows) * now.Sub(since)
	}
	t.changed = now
	t.flows += delta
}

// request serves the next request of a flow and schedules the following ones until the flow ends.
func (z *zoneLoad) request(target *zoneTarget, flowEnds time.Time) {
	pause := time.Duration(z.random.ExpFloat64() / z.config.RequestsPerSecond * float64(time.Second))
	z.clock.After(pause, func() {
		now := z.clock.Now()
		if !now.Before(flowEnds) || target.isRemoved {
			return
		}
		slot := 0
		if target.freeAt[1].Before(target.freeAt[0]) {
			slot = 1
		}
		startsAt := now
		if target.freeAt[slot].After(now) {
			startsAt = target.freeAt[slot]
		}
		target.freeAt[slot] = startsAt.Add(z.config.Work)
		if now.After(z.measuredFrom()) {
			target.requests++
			z.waits = append(z.waits, startsAt.Sub(now))
		}
		z.request(target, flowEnds)
	})
}

// failTargets removes some targets, reopens their flows and opens additional ones.
func (z *zoneLoad) failTargets(extraFlows int) {
	for index := range int(z.config.FailShare * float64(len(z.targets))) {
		target := z.targets[index]
		target.isRemoved = true
		for _, daemon := range z.daemons {
			daemon.candidates[index].Weight = 0
			delete(daemon.open, zoneToken(index))
		}
		extraFlows += target.flows
	}
	z.openMany(0, extraFlows)
}

func (z *zoneLoad) result() ZoneLoadResult {
	var flows, requests []float64
	for _, target := range z.targets {
		if target.isRemoved {
			continue
		}
		target.addFlows(z.clock.Now(), z.measuredFrom(), 0)
		flows = append(flows, target.flowTime.Seconds())
		requests = append(requests, float64(target.requests))
	}
	slices.Sort(z.waits)
	return ZoneLoadResult{
		FlowsMaxToMean: maxToMean(flows), RequestsMaxToMean: maxToMean(requests),
		WaitedP99:    z.waits[len(z.waits)*99/100],
		MessageBytes: float64(z.bytes) / z.config.Span.Seconds() / float64(len(z.daemons)),
	}
}

func maxToMean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return slices.Max(values) / (sum / float64(len(values)))
}
