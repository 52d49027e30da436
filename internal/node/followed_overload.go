package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/telemetry"
)

// newBuilder makes the builder of tables.
func newBuilder(given settings.Followed) *token.Builder {
	builder := token.NewBuilder(given.Data.Retention)
	builder.SetOverload(overload.Config(given.Overload))
	return builder
}

// crowdedPacket is a packet that waits for its service to have room.
type crowdedPacket struct {
	head   token.Packet
	buffer []byte
}

// holdCrowded keeps a packet until its service has room. A new flow for which room is not
// expected in time is refused at once: its caller can use the time.
func (p *tokenPlane) holdCrowded(worker *forwarding.Worker, inbound *forwarding.Inbound, packet *token.Packet, decision *token.Decision, cameAt time.Time) {
	p.mutex.Lock()
	isCopy := p.crowded.Contains(func(held crowdedPacket) bool {
		return held.head.Source == packet.Source && held.head.Destination == packet.Destination && held.head.Sequence == packet.Sequence
	})
	isHeld := isCopy || p.crowded.Put(time.Now(), overload.Waiting[crowdedPacket]{
		Load: decision.Load(), Rank: decision.Route.Rank(), IsOpening: packet.IsOpening,
		At: cameAt, Until: cameAt.Add(decision.Route.Hold(packet)),
		Packet: crowdedPacket{head: *packet, buffer: append([]byte(nil), inbound.Buffer...)},
	})
	p.mutex.Unlock()
	switch {
	case isCopy:
		p.counters.dropped[token.ReasonCopy].Add(1)
	case isHeld:
		p.counters.crowded.Add(1)
	case packet.IsOpening:
		p.refuse(worker, inbound.Datagram(), packet, decision)
	default:
		p.counters.dropped[token.ReasonOverload].Add(1)
	}
}

// releaseCrowded decides once more for the packets that may go on or have waited for too
// long.
func (p *tokenPlane) releaseCrowded(worker *forwarding.Worker, now time.Time) {
	for {
		p.mutex.Lock()
		crowded, found := p.crowded.Take(now)
		p.mutex.Unlock()
		if !found {
			return
		}
		p.handle(worker, &forwarding.Inbound{Buffer: crowded.Packet.buffer}, crowded.At)
	}
}

// tickCrowded lets go what has waited for too long, while no packet comes. Only the control
// loop calls it.
func (p *tokenPlane) tickCrowded(now time.Time, daemons int) {
	p.mutex.Lock()
	if table := p.table.Load(); table != nil {
		table.SetShares(now, daemons)
	}
	p.mutex.Unlock()
	p.releaseCrowded(p.releaser, now)
	p.releaser.Flush()
}

// serviceLoad is what one service has in progress through this daemon.
type serviceLoad struct {
	service             string
	preferred, ordinary float64
	// bound is what is let through while isBounded.
	bound     float64
	isBounded bool
}

// serviceLoads returns the load of each service, by name.
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

// overloadLineInterval is how often it is looked whether to say that a service has more work
// than its targets can do, or no longer: a line a second for each service at most.
const overloadLineInterval = time.Second

// sayOverload writes when the work of a service begins to be bounded, and when that ends.
func (n *Followed) sayOverload(now time.Time) {
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
			n.log.Info("targets turn requests away, work is bounded", telemetry.FieldService, load.service, telemetry.FieldBound, load.bound)
			continue
		}
		delete(n.overloaded, load.service)
		n.log.Info("work is no longer bounded", telemetry.FieldService, load.service)
	}
}

// loadStatus is what operators are shown of the services.
func (n *Followed) loadStatus(now time.Time) []telemetry.LoadStatus {
	status := []telemetry.LoadStatus{}
	for _, load := range n.plane.serviceLoads(now) {
		status = append(status, telemetry.LoadStatus{
			Service: load.service, Preferred: load.preferred, Ordinary: load.ordinary, IsBounded: load.isBounded, Bound: load.bound,
		})
	}
	return status
}
