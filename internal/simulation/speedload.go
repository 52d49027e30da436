package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/loadshare"
	"github.com/passtray/passtray/internal/targetspeed"
)

// SpeedLoadConfig describes a zone's load on targets of different speeds: long-lived flows with
// occasional requests, and requests on a flow of their own.
type SpeedLoadConfig struct {
	Daemons, Targets int
	// Speeds are assigned to the targets in turn. FleetDaemons is the number of daemons in all zones,
	// which share the capacity of the targets.
	Speeds       []float64
	FleetDaemons int
	// Feeds is the number of long-lived flows, which last FeedLife on average. Their requests
	// follow FeedPause after the last response and take FeedWork of a slot.
	Feeds               int
	FeedLife, FeedPause time.Duration
	FeedWork            time.Duration
	// FreshPerSecond requests per second open a flow of their own and take FreshWork.
	FreshPerSecond float64
	FreshWork      time.Duration
	// LateShare of the responses are acknowledged only after another pause.
	LateShare float64
	// Queue is the number of requests that a target queues before it rejects others.
	Queue int
	// LearnSpeeds enables the learning and gossip of speeds. Liars is the number of daemons that report
	// the targets to be four times as fast and four times as slow in turn.
	LearnSpeeds bool
	Liars       int
	// The first SlowTargets targets work at a quarter of their speed from SlowFrom until SlowUntil.
	// If IsSlowStart is set, daemons know that they are in slow start during that time.
	SlowTargets         int
	SlowFrom, SlowUntil time.Duration
	IsSlowStart         bool
	// Measurements begin at From.
	From, Span time.Duration
	Seed       uint64
}

// SpeedLoadResult holds the measurements from SpeedLoadConfig.From on.
type SpeedLoadResult struct {
	Arrivals, Rejected int
	// BusiestToMean is the ratio of the maximum to the mean work of a target.
	BusiestToMean float64
	P50, P99      time.Duration
	// Estimates are the speeds by target that the first daemon has in the end.
	Estimates []float64
	// MessageBytes is the mean number of bytes that a daemon sends per second.
	MessageBytes float64
}

// speedRoundTrip is the time from a caller's data via the target's response to the caller's
// acknowledgement.
const speedRoundTrip = 7 * time.Millisecond

type speedTarget struct {
	speed float64
	busy  int
	queue []func()
	// busyTime is the total time for which slots were busy.
	busyTime time.Duration
}

type speedDaemon struct {
	loads      *loadshare.Exchange
	speeds     *targetspeed.Exchange
	candidates []balance.Candidate
	open       map[uint32]int
	// usual holds the usual latency of each kind of request.
	usual              [2]usualLatency
	gossipsFalseSpeeds bool
}

// usualLatency estimates a median as the data path does.
type usualLatency struct {
	count  int
	median float64
}

func (u *usualLatency) note(latency time.Duration) (ratio float64, isKnown bool) {
	const learnedAfter, step = 32, 0.05
	ratio, isKnown = float64(latency)/u.median, u.count > learnedAfter
	switch u.count++; {
	case u.count == 1:
		u.median = float64(latency)
	case float64(latency) > u.median:
		u.median *= 1 + step
	default:
		u.median /= 1 + step
	}
	return ratio, isKnown
}

type speedLoad struct {
	config    SpeedLoadConfig
	clock     *Clock
	random    *rand.Rand
	startedAt time.Time
	targets   []*speedTarget
	daemons   []*speedDaemon
	latencies []time.Duration
	result    SpeedLoadResult
	bytes     int
}

// SpeedLoad runs a zone's load in virtual time.
func SpeedLoad(config SpeedLoadConfig) SpeedLoadResult {
	run := &speedLoad{config: config, clock: NewClock(), random: rand.New(rand.NewPCG(config.Seed, 34))}
	run.startedAt = run.clock.Now()
	for index := range config.Targets {
		run.targets = append(run.targets, &speedTarget{speed: config.Speeds[index%len(config.Speeds)]})
	}
	for index := range config.Daemons {
		run.daemons = append(run.daemons, run.newDaemon(index))
	}
	for range config.Feeds {
		run.clock.After(time.Duration(run.random.Int64N(int64(time.Second))), run.feed)
	}
	run.scheduleFreshRequests()
	if config.SlowTargets > 0 {
		run.clock.After(config.SlowFrom, func() { run.scaleSpeeds(0.25) })
		run.clock.After(config.SlowUntil, func() { run.scaleSpeeds(4) })
	}
	run.clock.Advance(config.Span)
	return run.finish()
}

func (s *speedLoad) newDaemon(index int) *speedDaemon {
	self := machineAddress(index)
	daemon := &speedDaemon{
		loads: loadshare.New(self, 0), speeds: targetspeed.NewExchange(self, 0),
		open: map[uint32]int{}, gossipsFalseSpeeds: index >= s.config.Daemons-s.config.Liars,
	}
	for range s.targets {
		daemon.candidates = append(daemon.candidates, balance.Candidate{Signal: &balance.Signal{}, Weight: slotsPerTarget, Slots: slotsPerTarget, Zone: zoneName})
	}
	s.clock.After(time.Duration(s.random.Int64N(int64(zoneGossipInterval))), func() { s.gossip(daemon) })
	return daemon
}

// gossip sends a daemon's state to random peers and applies what it received.
func (s *speedLoad) gossip(daemon *speedDaemon) {
	now := s.clock.Now()
	daemon.loads.Tick(now, func() map[uint32]int { return daemon.open })
	if daemon.gossipsFalseSpeeds {
		for index := range s.targets {
			daemon.speeds.Record(now, loadshare.MarkOf(zoneToken(index)), []float64{0.25, 4}[index%2])
		}
	}
	daemon.speeds.Tick(now)
	for range zoneGossipFanout {
		var speedMessage []byte
		if s.config.LearnSpeeds {
			speedMessage = daemon.speeds.Message(now)
		}
		message := append(daemon.loads.MessageWithin(now, loadshare.MaxMessageBytes-len(speedMessage)), speedMessage...)
		s.bytes += len(message)
		other := s.daemons[s.random.IntN(len(s.daemons))]
		other.speeds.HandleMessage(now, message[len(message)-other.loads.HandleMessage(now, message):])
	}
	totals, areComplete := daemon.loads.Totals(now)
	estimates := daemon.speeds.Estimates(now)
	for index := range daemon.candidates {
		signal := daemon.candidates[index].Signal
		open := daemon.open[zoneToken(index)]
		if areComplete {
			open = totals[loadshare.MarkOf(zoneToken(index))]
		}
		signal.SetOpenFlows(open)
		if estimate, isKnown := estimates[loadshare.MarkOf(zoneToken(index))]; isKnown && s.config.LearnSpeeds {
			signal.SetSpeed(now, estimate.Speed)
		}
	}
	s.clock.After(zoneGossipInterval, func() { s.gossip(daemon) })
}

// scaleSpeeds scales the speed of the first targets. With IsSlowStart, daemons also see them in slow
// start.
func (s *speedLoad) scaleSpeeds(factor float64) {
	for index := range s.config.SlowTargets {
		s.targets[index].speed *= factor
		if !s.config.IsSlowStart || factor > 1 {
			continue
		}
		for _, daemon := range s.daemons {
			daemon.candidates[index].WarmAt = s.startedAt.Add(s.config.SlowUntil)
		}
	}
}

// pick has a daemon choose a target and passes its index to then. If all targets are at their
// limit, it retries later.
func (s *speedLoad) pick(daemon *speedDaemon, then func(index int)) {
	now := s.clock.Now()
	request := balance.Request{Now: now, Zone: zoneName, LeaseHeld: true, PrefersZone: true, KnowsOpenFlows: true, Daemons: s.config.FleetDaemons}
	index := balance.Pick(&request, daemon.candidates, s.random)
	if index < 0 {
		s.clock.After(10*time.Millisecond, func() { s.pick(daemon, then) })
		return
	}
	daemon.candidates[index].Signal.RecordPick(now)
	s.clock.After(speedRoundTrip, func() { daemon.candidates[index].Signal.RecordOpened(s.clock.Now()) })
	then(index)
}

func (s *speedLoad) randomDaemon() *speedDaemon { return s.daemons[s.random.IntN(len(s.daemons))] }

func (s *speedLoad) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// feed opens a long-lived flow, which is replaced when it ends.
func (s *speedLoad) feed() {
	daemon := s.randomDaemon()
	s.pick(daemon, func(index int) {
		daemon.open[zoneToken(index)]++
		s.feedRequests(daemon, index, s.clock.Now().Add(s.exponential(s.config.FeedLife)))
	})
}

func (s *speedLoad) feedRequests(daemon *speedDaemon, index int, ends time.Time) {
	s.request(daemon, index, 0, s.config.FeedWork, func(isServed bool) {
		s.clock.After(s.exponential(s.config.FeedPause), func() {
			if isServed && s.clock.Now().Before(ends) {
				s.feedRequests(daemon, index, ends)
				return
			}
			if daemon.open[zoneToken(index)]--; daemon.open[zoneToken(index)] == 0 {
				delete(daemon.open, zoneToken(index))
			}
			s.feed()
		})
	})
}

// scheduleFreshRequests generates requests that open a flow of their own.
func (s *speedLoad) scheduleFreshRequests() {
	if s.config.FreshPerSecond <= 0 {
		return
	}
	s.clock.After(s.exponential(time.Duration(float64(time.Second)/s.config.FreshPerSecond)), func() {
		daemon := s.randomDaemon()
		s.pick(daemon, func(index int) { s.request(daemon, index, 1, s.config.FreshWork, func(bool) {}) })
		s.scheduleFreshRequests()
	})
}

// request sends a request to a target and calls done when it is served or rejected.
func (s *speedLoad) request(daemon *speedDaemon, index, kind int, mean time.Duration, done func(isServed bool)) {
	startedAt, target, signal := s.clock.Now(), s.targets[index], daemon.candidates[index].Signal
	isMeasured := startedAt.Sub(s.startedAt) >= s.config.From
	if isMeasured {
		s.result.Arrivals++
	}
	if target.busy >= slotsPerTarget && len(target.queue) >= s.config.Queue {
		if isMeasured {
			s.result.Rejected++
		}
		s.clock.After(speedRoundTrip, func() { done(false) })
		return
	}
	signal.AddPending(1)
	s.serve(target, mean, func() {
		s.clock.After(speedRoundTrip, func() {
			signal.AddPending(-1)
			s.noteResponse(daemon, index, kind, startedAt)
			done(true)
		})
	})
}

// noteResponse records the first byte of a response at a daemon.
func (s *speedLoad) noteResponse(daemon *speedDaemon, index, kind int, startedAt time.Time) {
	now := s.clock.Now()
	latency := now.Sub(startedAt)
	if startedAt.Sub(s.startedAt) >= s.config.From {
		s.latencies = append(s.latencies, latency)
	}
	if s.random.Float64() < s.config.LateShare {
		latency += s.exponential(s.config.FeedPause)
	}
	if ratio, isKnown := daemon.usual[kind].note(latency - speedRoundTrip); isKnown {
		daemon.candidates[index].Signal.RecordLatency(now, ratio)
		if !daemon.gossipsFalseSpeeds && !now.Before(daemon.candidates[index].WarmAt) {
			daemon.speeds.Record(now, loadshare.MarkOf(zoneToken(index)), ratio)
		}
	}
}

// serve processes a request in one of the target's slots, queued until one is free.
func (s *speedLoad) serve(target *speedTarget, mean time.Duration, then func()) {
	if target.busy >= slotsPerTarget {
		target.queue = append(target.queue, func() { s.serve(target, mean, then) })
		return
	}
	const spread = 0.5
	work := float64(mean) * math.Exp(spread*s.random.NormFloat64()-spread*spread/2) / target.speed
	target.busy++
	if s.clock.Now().Sub(s.startedAt) >= s.config.From {
		target.busyTime += time.Duration(work)
	}
	s.clock.After(time.Duration(work), func() {
		target.busy--
		if len(target.queue) > 0 {
			next := target.queue[0]
			target.queue = target.queue[1:]
			next()
		}
		then()
	})
}

func (s *speedLoad) finish() SpeedLoadResult {
	var busyTime []float64
	for index, target := range s.targets {
		busyTime = append(busyTime, target.busyTime.Seconds())
		s.result.Estimates = append(s.result.Estimates, s.daemons[0].candidates[index].Signal.Speed(s.clock.Now()))
	}
	slices.Sort(s.latencies)
	s.result.BusiestToMean = maxToMean(busyTime)
	s.result.P50, s.result.P99 = s.latencies[len(s.latencies)/2], s.latencies[len(s.latencies)*99/100]
	s.result.MessageBytes = float64(s.bytes) / s.config.Span.Seconds() / float64(len(s.daemons))
	return s.result
}
