package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/overload"
)

// OverloadConfig describes a service and the load on it, relative to its capacity.
type OverloadConfig struct {
	Daemons int
	Targets int
	// AdmissionControl enables admission control in the daemons.
	AdmissionControl bool
	// AssumedDaemons, if not 0, is the fleet size that each daemon assumes.
	AssumedDaemons int
	// SlowShare of the targets take four times as long; DeadShare of them are known to be dead.
	SlowShare, DeadShare float64
	// Load is the offered load relative to the capacity of all targets at their usual speed during
	// Burst; before and after, it is a fifth of that.
	Load  float64
	Burst time.Duration
	Seed  uint64
}

// OverloadResult holds the counts of a run.
type OverloadResult struct {
	// Requested and Served count requests by rank.
	Requested, Served [2]int
	// Arrivals counts requests that reached targets, Rejected those of them that the target
	// rejected, and Refused those that daemons refused.
	Arrivals, Rejected, Refused int
	// RefusedAfterBurst counts those refused more than a second after the burst.
	RefusedAfterBurst int
}

// Share returns the share of a rank's requests that were served.
func (r *OverloadResult) Share(rank overload.Rank) float64 {
	return float64(r.Served[rank]) / float64(max(1, r.Requested[rank]))
}

// Behavior of targets and callers.
const (
	overloadQueueLength    = 8 // queue length of a target
	overloadQueueTimeout   = 100 * time.Millisecond
	overloadServiceTime    = 32 * time.Millisecond
	overloadSlowFactor     = 4
	overloadPreferredShare = 0.22 // share of all requests
	overloadMaxAttempts    = 3
	overloadRetryDelay     = 150 * time.Millisecond // mean delay before a retry
	overloadRoundTrip      = 6 * time.Millisecond
	overloadIdleFlows      = 8 // idle flows kept per daemon in a fleet of 88
	overloadObjective      = 600 * time.Millisecond
	overloadLeadTime       = 2 * time.Second
	overloadResponseBytes  = 1000
	overloadRejectionBytes = 100
	overloadRoute          = 1
)

// overloadCall is a request of a caller.
type overloadCall struct {
	rank     overload.Rank
	attempts int
	// target is the target of its open flow, -1 if it needs a new flow.
	target int
	daemon *overloadDaemon
}

type overloadDaemon struct {
	controller *overload.Controller
	queue      *overload.Queue[*overloadCall]
	candidates []balance.Candidate
	// idle holds the targets of the open, idle flows of ordinary callers.
	idle []int
}

type overloadTarget struct {
	busy    int
	waiting []*overloadCall
	work    time.Duration
}

type overloadRun struct {
	config    OverloadConfig
	clock     *Clock
	random    *rand.Rand
	startedAt time.Time
	daemons   []*overloadDaemon
	targets   []*overloadTarget
	result    OverloadResult
}

// Overload runs a load in virtual time.
func Overload(config OverloadConfig) OverloadResult {
	run := &overloadRun{config: config, clock: NewClock(), random: rand.New(rand.NewPCG(config.Seed, 31))}
	run.startedAt = run.clock.Now()
	for index := range config.Targets {
		target := &overloadTarget{work: overloadServiceTime}
		if float64(index) < config.SlowShare*float64(config.Targets) {
			target.work *= overloadSlowFactor
		}
		run.targets = append(run.targets, target)
	}
	for range config.Daemons {
		run.daemons = append(run.daemons, run.newDaemon())
	}
	run.scheduleArrivals()
	run.clock.Advance(overloadLeadTime + config.Burst + 2*overloadLeadTime)
	return run.result
}

func (o *overloadRun) newDaemon() *overloadDaemon {
	bounds := overload.DefaultConfig()
	bounds.Enabled = o.config.AdmissionControl
	daemon := &overloadDaemon{controller: overload.New(bounds), queue: overload.NewQueue[*overloadCall](512)}
	now, slots := o.clock.Now(), 0
	for index := range o.targets {
		signal := &balance.Signal{}
		if float64(len(o.targets)-1-index) < o.config.DeadShare*float64(len(o.targets)) {
			signal.SetDead(now.Add(time.Hour), now.Add(time.Hour))
		} else {
			slots += slotsPerTarget
		}
		daemon.candidates = append(daemon.candidates, balance.Candidate{Signal: signal, Weight: slotsPerTarget, Slots: slotsPerTarget})
	}
	daemon.controller.SetShare(slots, o.assumedDaemons())
	for range 100 { // warm up the response statistics
		daemon.controller.RecordResponse(now, overloadRoute, overloadResponseBytes)
	}
	return daemon
}

func (o *overloadRun) assumedDaemons() int {
	if o.config.AssumedDaemons > 0 {
		return o.config.AssumedDaemons
	}
	return o.config.Daemons
}

// burstEnds returns the end of the burst.
func (o *overloadRun) burstEnds() time.Time {
	return o.startedAt.Add(overloadLeadTime + o.config.Burst)
}

func (o *overloadRun) offeredLoad(now time.Time) float64 {
	if now.Before(o.startedAt.Add(overloadLeadTime)) || !now.Before(o.burstEnds()) {
		return o.config.Load / 5
	}
	return o.config.Load
}

// scheduleArrivals generates requests as a Poisson process.
func (o *overloadRun) scheduleArrivals() {
	now := o.clock.Now()
	perSecond := o.offeredLoad(now) * float64(len(o.targets)*slotsPerTarget) / overloadServiceTime.Seconds()
	o.clock.After(time.Duration(o.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		call := &overloadCall{rank: overload.Ordinary, target: -1}
		if o.random.Float64() < overloadPreferredShare {
			call.rank = overload.Preferred
		}
		o.result.Requested[call.rank]++
		o.attempt(call, true)
		o.scheduleArrivals()
	})
}

// attempt sends a request, on an idle flow if mayReuse and one is available.
func (o *overloadRun) attempt(call *overloadCall, mayReuse bool) {
	call.daemon = o.daemons[o.random.IntN(len(o.daemons))]
	call.target = -1
	if idle := call.daemon.idle; mayReuse && call.rank == overload.Ordinary && len(idle) > 0 {
		call.target = idle[len(idle)-1]
		call.daemon.idle = idle[:len(idle)-1]
	}
	o.decide(call, o.clock.Now())
}

// decide applies the data path's admission decision to a packet that arrived at arrivedAt.
func (o *overloadRun) decide(call *overloadCall, arrivedAt time.Time) {
	now, daemon, isOpening := o.clock.Now(), call.daemon, call.target < 0
	hold := overload.MaxFlowWait(overloadObjective)
	if !isOpening {
		hold = overload.MaxDataWait(overloadObjective)
	}
	hasWaited := now.Sub(arrivedAt) >= hold
	switch {
	case isOpening && daemon.controller.AdmitFlow(now, call.rank), !isOpening && (hasWaited || daemon.controller.Admit(now, call.rank)):
		o.send(call)
	case !hasWaited && daemon.queue.Push(now, overload.QueuedPacket[*overloadCall]{
		Load: daemon.controller, Rank: call.rank, IsOpening: isOpening, ArrivedAt: arrivedAt, Deadline: arrivedAt.Add(hold), Packet: call,
	}):
		o.clock.After(hold, func() { o.release(daemon) })
	default:
		o.result.Refused++
		if now.After(o.burstEnds().Add(time.Second)) {
			o.result.RefusedAfterBurst++
		}
		o.retry(call)
	}
}

func (o *overloadRun) release(daemon *overloadDaemon) {
	for {
		waiting, found := daemon.queue.Pop(o.clock.Now())
		if !found {
			return
		}
		o.decide(waiting.Packet, waiting.ArrivedAt)
	}
}

func (o *overloadRun) retry(call *overloadCall) {
	if call.attempts++; call.attempts < overloadMaxAttempts {
		o.clock.After(time.Duration(o.random.ExpFloat64()*float64(overloadRetryDelay)), func() { o.attempt(call, false) })
	}
}

// send forwards a request to a target.
func (o *overloadRun) send(call *overloadCall) {
	now, daemon := o.clock.Now(), call.daemon
	if call.target < 0 {
		request := balance.Request{Now: now, LeaseHeld: true}
		call.target = balance.Pick(&request, daemon.candidates, o.random)
	}
	daemon.controller.Begin(call.rank)
	daemon.candidates[call.target].Signal.AddPending(1)
	o.result.Arrivals++
	target := o.targets[call.target]
	switch {
	case target.busy < slotsPerTarget:
		o.work(target, call)
	case len(target.waiting) >= overloadQueueLength:
		o.clock.After(overloadRoundTrip, func() { o.respond(call, false) })
	default:
		target.waiting = append(target.waiting, call)
		o.clock.After(overloadQueueTimeout, func() { o.rejectQueued(target, call) })
	}
}

// rejectQueued rejects a request that has waited too long in its target's queue.
func (o *overloadRun) rejectQueued(target *overloadTarget, call *overloadCall) {
	for index, waiting := range target.waiting {
		if waiting == call {
			target.waiting = append(target.waiting[:index:index], target.waiting[index+1:]...)
			o.clock.After(overloadRoundTrip, func() { o.respond(call, false) })
			return
		}
	}
}

// work processes a request in one of the target's slots.
func (o *overloadRun) work(target *overloadTarget, call *overloadCall) {
	target.busy++
	o.clock.After(time.Duration((0.5+o.random.Float64())*float64(target.work)), func() {
		target.busy--
		o.clock.After(overloadRoundTrip, func() { o.respond(call, true) })
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			o.work(target, next)
		}
	})
}

// respond returns a response to the caller and updates the daemon's statistics.
func (o *overloadRun) respond(call *overloadCall, isServed bool) {
	now, daemon, signal := o.clock.Now(), call.daemon, call.daemon.candidates[call.target].Signal
	daemon.controller.End(call.rank)
	signal.AddPending(-1)
	if isServed {
		o.result.Served[call.rank]++
		daemon.controller.RecordResponse(now, overloadRoute, overloadResponseBytes)
	} else {
		o.result.Rejected++
		daemon.controller.RecordResponse(now, overloadRoute, overloadRejectionBytes)
		signal.RecordOverdue(now, 8)
	}
	if call.rank == overload.Ordinary && len(daemon.idle) < overloadIdleFlows*88/len(o.daemons) {
		daemon.idle = append(daemon.idle, call.target)
	}
	if !isServed {
		o.retry(call)
	}
	o.release(daemon)
}
