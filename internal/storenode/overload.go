package storenode

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

func newBuilder(given settings.Followed) *token.Builder {
	builder := token.NewBuilder(given.Data.Retention)
	builder.SetOverload(overload.Config(given.Overload))
	return builder
}

// crowdedPacket is a packet queued until its service has capacity.
type crowdedPacket struct {
	head   token.Packet
	buffer []byte
	// service is the service chosen for the first packet of a flow.
	service string
}

// arrival is when a packet arrived and what happened to it since.
type arrival struct {
	at time.Time
	// isReleased means that it left the queue of its overloaded service.
	isReleased bool
	// service is the service whose queue the first packet of a flow left.
	service string
}

// waited returns how long the packet has waited for capacity. A released packet of an open flow does
// not wait again: there was capacity for it, or its wait is over.
func (a arrival) waited(now time.Time, packet *token.Packet) time.Duration {
	if a.isReleased && !packet.IsOpening {
		return math.MaxInt64
	}
	return now.Sub(a.at)
}

// flowOf returns the key of a packet in the queue.
func flowOf(packet *token.Packet) overload.Flow {
	return overload.Flow{Source: packet.Source, Destination: packet.Destination, IsOpening: packet.IsOpening}
}

// isCopyOf reports whether a packet is a retransmission of an earlier one.
func isCopyOf(earlier, packet *token.Packet) bool {
	return packet.Sequence == earlier.Sequence && packet.PayloadLength == earlier.PayloadLength && packet.IsClosing == earlier.IsClosing
}

// hasCopy reports whether a copy of the packet is queued. The mutex must be held.
func (p *tokenPlane) hasCopy(packet *token.Packet) bool {
	first := p.crowded.Of(flowOf(packet))
	return first != nil && (isCopyOf(&first.Packet.head, packet) ||
		slices.ContainsFunc(first.Behind, func(held crowdedPacket) bool { return isCopyOf(&held.head, packet) }))
}

// waitBehind changes the decision to forward a packet of an open flow into one to hold it while
// earlier packets of the flow are queued: a target that receives them out of order would treat them as
// lost. The mutex must be held.
func (p *tokenPlane) waitBehind(decision token.Decision, packet *token.Packet, came arrival) token.Decision {
	hasContent := packet.PayloadLength > 0 || packet.IsClosing
	if decision.Action == token.Forward && hasContent && !came.isReleased && p.crowded.Of(flowOf(packet)) != nil {
		decision.Action, decision.Reason = token.Hold, token.ReasonOverload
	}
	return decision
}

// forgetReset drops the queued packets of a flow that its caller resets, which need no response any
// more. The mutex must be held.
func (p *tokenPlane) forgetReset(packet *token.Packet) {
	flow := flowOf(packet)
	for _, flow.IsOpening = range []bool{false, true} {
		if taken, found := p.crowded.TakeFlow(flow); found {
			p.counters.dropped[token.ReasonOverload].Add(uint64(1 + len(taken.Behind)))
		}
	}
}

// holdCrowded queues a packet until its service has capacity. A new flow that is not expected to get
// any in time is refused at once, so that its caller has time to retry. Data of an open flow is
// forwarded if the queue is full.
func (p *tokenPlane) holdCrowded(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, decision *token.Decision, came arrival) {
	now, load, rank := time.Now(), decision.Load(), decision.Route.Rank()
	p.mutex.Lock()
	isCopy := p.hasCopy(packet)
	isHeld := !isCopy && p.crowded.HasPlace(now, load, rank, packet.IsOpening)
	if isHeld {
		p.isCrowded.Store(true)
		p.crowded.Put(now, overload.Waiting[crowdedPacket]{
			Load: load, Rank: rank, Flow: flowOf(packet), IsOpening: packet.IsOpening,
			At: came.at, Until: came.at.Add(decision.Route.Hold(packet)),
			Packet: crowdedPacket{head: *packet, buffer: append([]byte(nil), inbound.Buffer...), service: decision.Service},
		})
	}
	p.mutex.Unlock()
	switch {
	case isCopy:
		p.counters.dropped[token.ReasonCopy].Add(1)
	case isHeld:
		if !came.isReleased {
			p.counters.crowded.Add(1)
		}
	case packet.IsOpening:
		p.refuse(worker, inbound.Datagram(), packet, decision)
	default:
		p.passCrowd(worker, inbound, packet, came)
	}
}

// passCrowd forwards a packet of an open flow after the queued packets of that flow.
func (p *tokenPlane) passCrowd(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, came arrival) {
	p.mutex.Lock()
	earlier, found := p.crowded.TakeFlow(flowOf(packet))
	p.mutex.Unlock()
	if found {
		p.letGo(worker, &earlier)
	}
	p.handle(worker, inbound, arrival{at: came.at, isReleased: true})
}

// letGo decides again on a packet taken from the queue and on those behind it.
func (p *tokenPlane) letGo(worker *forwarding.Worker, taken *overload.Waiting[crowdedPacket]) {
	came := arrival{at: taken.At, isReleased: true, service: taken.Packet.service}
	p.handle(worker, &forwarding.Inbound{Buffer: taken.Packet.buffer}, came)
	for _, behind := range taken.Behind {
		p.handle(worker, &forwarding.Inbound{Buffer: behind.buffer}, came)
	}
}

// releaseCrowded decides again on the queued packets for which there is capacity or whose wait is
// over.
func (p *tokenPlane) releaseCrowded(worker *forwarding.Worker, now time.Time) {
	for {
		p.mutex.Lock()
		taken, found := p.crowded.Take(now)
		p.mutex.Unlock()
		if !found {
			return
		}
		p.letGo(worker, &taken)
	}
}

// handleCrowded decides on a datagram while others are queued. Those go first if there is capacity,
// and also get the capacity that the datagram frees.
func (p *tokenPlane) handleCrowded(worker *forwarding.Worker, inbound *forwarding.Inbound, now time.Time) {
	p.releasing.Lock()
	defer p.releasing.Unlock()
	p.releaseCrowded(worker, now)
	p.handle(worker, inbound, arrival{at: now})
	p.releaseCrowded(worker, now)
}

// tickCrowded releases packets whose wait is over while none arrives. Only the control loop calls it.
func (p *tokenPlane) tickCrowded(now time.Time, daemons int) {
	p.mutex.Lock()
	if table := p.table.Load(); table != nil {
		p.opener.SetShares(now, table, daemons)
	}
	p.mutex.Unlock()
	if !p.isCrowded.Load() {
		return
	}
	p.releasing.Lock()
	defer p.releasing.Unlock()
	p.releaseCrowded(p.releaser, now)
	p.releaser.Flush()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isCrowded.Store(p.crowded.Len() > 0)
}

// serviceLoad is the number of requests in progress at a service through this daemon.
type serviceLoad struct {
	service             string
	preferred, ordinary float64
	// bound is the limit in force if isBounded.
	bound     float64
	isBounded bool
}

// serviceLoads returns the loads ordered by service.
func (p *tokenPlane) serviceLoads(now time.Time) []serviceLoad {
	table := p.table.Load()
	if table == nil {
		return nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var loads []serviceLoad
	table.Loads(func(service string, load *overload.Controller) {
		bound, isBounded := load.Bound(now)
		loads = append(loads, serviceLoad{
			service: service, preferred: load.InProgress(now, overload.Preferred), ordinary: load.InProgress(now, overload.Ordinary),
			bound: bound, isBounded: isBounded,
		})
	})
	slices.SortFunc(loads, func(a, b serviceLoad) int { return cmp.Compare(a.service, b.service) })
	return loads
}

// overloadLineInterval is how often services are checked for a change to be logged, at most one line
// per service each.
const overloadLineInterval = time.Second

// sayOverload logs when the limit on requests in progress at a service starts and stops to apply.
func (n *Node) sayOverload(now time.Time) {
	if now.Before(n.nextOverloadLine) {
		return
	}
	n.nextOverloadLine = now.Add(overloadLineInterval)
	for _, load := range n.plane.serviceLoads(now) {
		if load.isBounded == n.overloaded[load.service] {
			continue
		}
		if load.isBounded {
			n.overloaded[load.service] = true
			n.log.Info("targets reject requests, limiting requests in progress", telemetry.FieldService, load.service, telemetry.FieldBound, load.bound)
			continue
		}
		delete(n.overloaded, load.service)
		n.log.Info("requests in progress no longer limited", telemetry.FieldService, load.service)
	}
}

func (n *Node) loadStatus(now time.Time) []telemetry.LoadStatus {
	status := []telemetry.LoadStatus{}
	for _, load := range n.plane.serviceLoads(now) {
		status = append(status, telemetry.LoadStatus{
			Service: load.service, Preferred: load.preferred, Ordinary: load.ordinary, IsBounded: load.isBounded, Bound: load.bound,
		})
	}
	return status
}
