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

func newBuilder(cfg settings.StoreNode) *token.Builder {
	builder := token.NewBuilder(cfg.Data.Retention)
	builder.SetOverload(overload.Config(cfg.Overload))
	return builder
}

// queuedPacket is a packet queued until its service has capacity.
type queuedPacket struct {
	parsed token.Packet
	buffer []byte
	// service is the service chosen for the first packet of a flow.
	service string
}

// arrival is when a packet arrived and what happened to it since.
type arrival struct {
	at time.Time
	// isDequeued means that it was taken from the queue of its overloaded service.
	isDequeued bool
	// service is the service whose queue the first packet of a flow left.
	service string
}

// waited returns how long the packet has waited for capacity. A dequeued packet of an open flow does
// not wait again: there was capacity for it, or its wait is over.
func (a arrival) waited(now time.Time, packet *token.Packet) time.Duration {
	if a.isDequeued && !packet.IsOpening {
		return math.MaxInt64
	}
	return now.Sub(a.at)
}

// flowOf returns the key of a packet in the queue.
func flowOf(packet *token.Packet) overload.Flow {
	return overload.Flow{Source: packet.Source, Destination: packet.Destination, IsOpening: packet.IsOpening}
}

// isRetransmission reports whether a packet is a retransmission of an earlier one.
func isRetransmission(earlier, packet *token.Packet) bool {
	return packet.Sequence == earlier.Sequence && packet.PayloadLength == earlier.PayloadLength && packet.IsClosing == earlier.IsClosing
}

// isQueued reports whether a copy of the packet is queued. The mutex must be held.
func (p *tokenPlane) isQueued(packet *token.Packet) bool {
	first := p.queued.PeekFlow(flowOf(packet))
	return first != nil && (isRetransmission(&first.Packet.parsed, packet) ||
		slices.ContainsFunc(first.Behind, func(held queuedPacket) bool { return isRetransmission(&held.parsed, packet) }))
}

// keepFlowOrder changes the decision to forward a packet of an open flow into one to hold it while
// earlier packets of the flow are queued: a target that receives them out of order would treat them as
// lost. The mutex must be held.
func (p *tokenPlane) keepFlowOrder(decision token.Decision, packet *token.Packet, arrived arrival) token.Decision {
	hasContent := packet.PayloadLength > 0 || packet.IsClosing
	if decision.Action == token.Forward && hasContent && !arrived.isDequeued && p.queued.PeekFlow(flowOf(packet)) != nil {
		decision.Action, decision.Reason = token.Hold, token.ReasonOverload
	}
	return decision
}

// dropQueued removes the packets of a flow from the queue when its caller resets it, as they need no
// response any more. The mutex must be held.
func (p *tokenPlane) dropQueued(packet *token.Packet) {
	flow := flowOf(packet)
	for _, flow.IsOpening = range []bool{false, true} {
		if taken, found := p.queued.PopFlow(flow); found {
			p.counters.dropped[token.ReasonOverload].Add(uint64(1 + len(taken.Behind)))
		}
	}
}

// queueForCapacity queues a packet until its service has capacity. A new flow that is not expected to
// get any in time is refused at once, so that its caller has time to retry. Data of an open flow is
// forwarded if the queue is full.
func (p *tokenPlane) queueForCapacity(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, decision *token.Decision, arrived arrival) {
	now, load, rank := time.Now(), decision.Load(), decision.Route.Rank()
	p.mutex.Lock()
	isDuplicate := p.isQueued(packet)
	canQueue := !isDuplicate && p.queued.HasRoom(now, load, rank, packet.IsOpening)
	if canQueue {
		p.mayBeQueued.Store(true)
		p.queued.Push(now, overload.QueuedPacket[queuedPacket]{
			Load: load, Rank: rank, Flow: flowOf(packet), IsOpening: packet.IsOpening,
			ArrivedAt: arrived.at, Deadline: arrived.at.Add(decision.Route.Hold(packet)),
			Packet: queuedPacket{parsed: *packet, buffer: append([]byte(nil), inbound.Buffer...), service: decision.Service},
		})
	}
	p.mutex.Unlock()
	switch {
	case isDuplicate:
		p.counters.dropped[token.ReasonRetransmission].Add(1)
	case canQueue:
		if !arrived.isDequeued {
			p.counters.queued.Add(1)
		}
	case packet.IsOpening:
		p.refuse(worker, inbound.Datagram(), packet, decision)
	default:
		p.bypassQueue(worker, inbound, packet, arrived)
	}
}

// bypassQueue forwards a packet of an open flow after the queued packets of that flow.
func (p *tokenPlane) bypassQueue(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, arrived arrival) {
	p.mutex.Lock()
	earlier, found := p.queued.PopFlow(flowOf(packet))
	p.mutex.Unlock()
	if found {
		p.decideDequeued(worker, &earlier)
	}
	p.handle(worker, inbound, arrival{at: arrived.at, isDequeued: true})
}

// decideDequeued decides again on a packet taken from the queue and on those behind it.
func (p *tokenPlane) decideDequeued(worker *forwarding.Worker, taken *overload.QueuedPacket[queuedPacket]) {
	arrived := arrival{at: taken.ArrivedAt, isDequeued: true, service: taken.Packet.service}
	p.handle(worker, &forwarding.Inbound{Buffer: taken.Packet.buffer}, arrived)
	for _, behind := range taken.Behind {
		p.handle(worker, &forwarding.Inbound{Buffer: behind.buffer}, arrived)
	}
}

// releaseQueued decides again on the queued packets for which there is capacity or whose wait is
// over.
func (p *tokenPlane) releaseQueued(worker *forwarding.Worker, now time.Time) {
	for {
		p.mutex.Lock()
		taken, found := p.queued.Pop(now)
		p.mutex.Unlock()
		if !found {
			return
		}
		p.decideDequeued(worker, &taken)
	}
}

// handleWithQueue decides on a datagram while others are queued. Those go first if there is capacity,
// and also get the capacity that the datagram frees.
func (p *tokenPlane) handleWithQueue(worker *forwarding.Worker, inbound *forwarding.Inbound, now time.Time) {
	p.releaseMutex.Lock()
	defer p.releaseMutex.Unlock()
	p.releaseQueued(worker, now)
	p.handle(worker, inbound, arrival{at: now})
	p.releaseQueued(worker, now)
}

// tickQueue releases packets whose wait is over while none arrives. Only the control loop calls it.
func (p *tokenPlane) tickQueue(now time.Time, daemons int) {
	p.mutex.Lock()
	if table := p.table.Load(); table != nil {
		p.opener.SetOverloadShares(now, table, daemons)
	}
	p.mutex.Unlock()
	if !p.mayBeQueued.Load() {
		return
	}
	p.releaseMutex.Lock()
	defer p.releaseMutex.Unlock()
	p.releaseQueued(p.releaseWorker, now)
	p.releaseWorker.Flush()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mayBeQueued.Store(p.queued.Len() > 0)
}

// serviceLoad is the number of requests in progress at a service through this daemon.
type serviceLoad struct {
	service             string
	preferred, ordinary float64
	// limit applies if isLimited.
	limit     float64
	isLimited bool
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
	table.EachLoad(func(service string, load *overload.Controller) {
		limit, isLimited := load.Limit(now)
		loads = append(loads, serviceLoad{
			service: service, preferred: load.InProgress(now, overload.Preferred), ordinary: load.InProgress(now, overload.Ordinary),
			limit: limit, isLimited: isLimited,
		})
	})
	slices.SortFunc(loads, func(a, b serviceLoad) int { return cmp.Compare(a.service, b.service) })
	return loads
}

// overloadLogInterval is how often services are checked for a change to be logged, at most one line
// per service each.
const overloadLogInterval = time.Second

// logOverload logs when the limit on requests in progress at a service starts or stops applying.
func (n *Node) logOverload(now time.Time) {
	if now.Before(n.nextOverloadLogAt) {
		return
	}
	n.nextOverloadLogAt = now.Add(overloadLogInterval)
	for _, load := range n.plane.serviceLoads(now) {
		if load.isLimited == n.loggedLimited[load.service] {
			continue
		}
		if load.isLimited {
			n.loggedLimited[load.service] = true
			n.log.Info("targets reject requests, limiting requests in progress", telemetry.FieldService, load.service, telemetry.FieldLimit, load.limit)
			continue
		}
		delete(n.loggedLimited, load.service)
		n.log.Info("requests in progress no longer limited", telemetry.FieldService, load.service)
	}
}

func (n *Node) loadsStatus(now time.Time) []telemetry.LoadStatus {
	status := []telemetry.LoadStatus{}
	for _, load := range n.plane.serviceLoads(now) {
		status = append(status, telemetry.LoadStatus{
			Service: load.service, Preferred: load.preferred, Ordinary: load.ordinary, IsLimited: load.isLimited, Limit: load.limit,
		})
	}
	return status
}
