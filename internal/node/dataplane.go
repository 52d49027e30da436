package node

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/admission"
	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

const (
	// pinLifetime covers a handshake with its retransmissions.
	pinLifetime = 15 * time.Second
	// steerAgainAfter is how long a target may leave a first flight unanswered
	// before a retransmission is steered elsewhere; it is above QUIC's first
	// probe timeout over a region, so that only a real retransmission counts.
	steerAgainAfter = 250 * time.Millisecond
	// maximumRetries bounds how often one flow is steered elsewhere.
	maximumRetries = 2
)

// steeringMode says how flows are spread. Only ModeOwner is for production; the
// others are baselines and a broken double for the lab.
type SteeringMode string

// The modes.
const (
	// ModeOwner: routable IDs, first flights to the flow's owner.
	ModeOwner SteeringMode = "owner"
	// ModeNoOwner: routable IDs, but each daemon picks by itself.
	ModeNoOwner SteeringMode = "no-owner"
	// ModeModulo: hash of the address pair modulo the number of targets.
	ModeModulo SteeringMode = "modulo"
	// ModeRendezvous: rendezvous hash of the address pair.
	ModeRendezvous SteeringMode = "rendezvous"
	// ModeRandom: a random target for every packet; for checking checkers.
	ModeRandom SteeringMode = "random"
)

// dataCounters count what the data path did.
type dataCounters struct {
	forwarding.Counters
	routed     atomic.Uint64
	handedOver atomic.Uint64
	picked     atomic.Uint64
	steered    atomic.Uint64
	resent     atomic.Uint64
	refused    atomic.Uint64
	returned   atomic.Uint64
	relayed    atomic.Uint64
	replicated atomic.Uint64
	probes     atomic.Uint64
	dropped    [steering.ReasonCount]atomic.Uint64
}

// dataPlane forwards datagrams by the newest snapshot.
type dataPlane struct {
	self          netip.AddrPort
	fabricEgress  netip.AddrPort
	fabricSources []netip.Prefix
	mode          SteeringMode

	snapshot atomic.Pointer[steering.Snapshot]
	limiter  *admission.Limiter
	peers    *ownership.Peers
	// caughtUp says whether this daemon may own flows.
	caughtUp *atomic.Bool
	pins     *ownership.Table
	udpFlows *ownership.Table
	// started is when this daemon began; until udpIdle later, other daemons may
	// know plain UDP flows that it owns and has never seen.
	started  time.Time
	udpIdle  time.Duration
	refuser  *admission.Refuser
	counters *dataCounters

	// backend sends to targets and daemons, egress to callers by the fabric.
	backend forwarding.Socket
	egress  forwarding.Socket
	// direct finds the socket whose callers use it for a service address.
	direct map[netip.AddrPort]forwarding.Socket
}

// workerContext is one goroutine's own memory.
type workerContext struct {
	scratch connectionid.Scratch
	header  encapsulation.Header
	reply   encapsulation.Header
	encode  [encapsulation.MaximumSize]byte
	random  *rand.Rand
}

func newWorkerContext() *workerContext {
	return &workerContext{random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (d *dataPlane) drop(reason steering.Reason) { d.counters.dropped[reason].Add(1) }

// fabricHandler takes what the fabric sends.
type fabricHandler struct{ *dataPlane }

// Handle forwards one datagram of a caller.
func (h fabricHandler) Handle(worker *forwarding.Worker, inbound *forwarding.Inbound) {
	memory := worker.Context.(*workerContext)
	offset, err := encapsulation.Parse(inbound.Datagram(), &memory.header)
	if err != nil || memory.header.Kind != encapsulation.KindFabric {
		h.drop(steering.ReasonMalformed)
		return
	}
	if !containsAddress(h.fabricSources, inbound.Source.Addr()) {
		h.drop(steering.ReasonForeignSource)
		return
	}
	h.steer(worker, inbound, forwarding.Headroom+offset, false)
}

func containsAddress(networks []netip.Prefix, address netip.Addr) bool {
	for _, network := range networks {
		if network.Contains(address) {
			return true
		}
	}
	return false
}

// directHandler takes what callers send to an address of this machine.
type directHandler struct {
	*dataPlane
	service netip.AddrPort
}

// Handle forwards one datagram of a caller.
func (h directHandler) Handle(worker *forwarding.Worker, inbound *forwarding.Inbound) {
	memory := worker.Context.(*workerContext)
	memory.header = encapsulation.Header{Caller: inbound.Source, Service: h.service, Ingress: h.self}
	h.steer(worker, inbound, forwarding.Headroom, false)
}

// steer decides where the payload at offset goes; the memory's header holds
// caller, service and ingress.
func (d *dataPlane) steer(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, isOwner bool) {
	memory := worker.Context.(*workerContext)
	snapshot := d.snapshot.Load()
	packet := steering.Packet{Service: memory.header.Service, Caller: memory.header.Caller, Payload: inbound.Buffer[offset:]}
	decision := d.decide(snapshot, &packet, isOwner, memory)
	switch decision.Action {
	case steering.Forward:
		d.counters.routed.Add(1)
		d.sendToTarget(worker, inbound, offset, snapshot, decision.Target, decision.IsFirstFlight)
	case steering.HandOver:
		d.counters.handedOver.Add(1)
		d.handOver(worker, inbound, offset, decision.Owner)
	case steering.Decide:
		d.pickAndSend(worker, inbound, offset, snapshot, &decision, isOwner)
	default:
		d.drop(decision.Reason)
	}
}

func (d *dataPlane) sendToTarget(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, snapshot *steering.Snapshot, target *steering.Target, withNames bool) {
	memory := worker.Context.(*workerContext)
	header := &memory.header
	header.Kind = encapsulation.KindToTarget
	header.ServiceNumber = uint32(target.Service.Number)
	header.TargetNumber = uint32(target.Number)
	header.Revision = snapshot.Revision
	header.Draining = target.Draining
	header.Names = nil
	if withNames {
		header.Names = target.Names
	}
	d.send(worker, inbound, offset, header, target.Address)
}

func (d *dataPlane) handOver(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, owner *steering.Daemon) {
	memory := worker.Context.(*workerContext)
	owner.Peer.NoteSent(time.Now(), ownership.Handover{
		Caller: memory.header.Caller, Service: memory.header.Service, Ingress: memory.header.Ingress,
		Payload: bytes.Clone(inbound.Buffer[offset:]),
	})
	memory.header.Kind = encapsulation.KindToOwner
	memory.header.Names = nil
	d.send(worker, inbound, offset, &memory.header, owner.Address)
}

func (d *dataPlane) send(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, header *encapsulation.Header, to netip.AddrPort) {
	memory := worker.Context.(*workerContext)
	datagram, fits := forwarding.Rewrite(inbound, offset, header, memory.encode[:])
	if !fits {
		d.drop(steering.ReasonOversized)
		return
	}
	worker.Send(d.backend, to, datagram)
}

// pickAndSend is the owner's part: it picks a target for a new flow, or keeps
// to the pick it made.
func (d *dataPlane) pickAndSend(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int, snapshot *steering.Snapshot, decision *steering.Decision, isOwner bool) {
	memory := worker.Context.(*workerContext)
	now := time.Now()
	pick := picker{plane: d, now: now, snapshot: snapshot, service: decision.Service, random: memory.random, key: decision.Key}
	if decision.Service.Protocol == catalog.ProtocolUDP {
		d.sendDatagramFlow(worker, inbound, offset, &pick, isOwner)
		return
	}
	pin, stored := d.pins.Update(now, decision.Key, pick.decide)
	if !stored {
		d.refuse(inbound, offset, memory, decision.Service, pick.failure)
		return
	}
	target := snapshot.Target(pin.Target)
	if target == nil {
		d.drop(steering.ReasonTargetGone)
		return
	}
	d.sendToTarget(worker, inbound, offset, snapshot, target, true)
}

// refuse tells a QUIC caller at once that its connection will not be; nothing
// has run. A plain UDP datagram is dropped, for there is no such word in it.
func (d *dataPlane) refuse(inbound *forwarding.Inbound, offset int, memory *workerContext, service *steering.Service, reason steering.Reason) {
	d.drop(reason)
	if service.Protocol != catalog.ProtocolQUIC || d.refuser == nil {
		return
	}
	d.counters.refused.Add(1)
	d.refuser.Refuse(memory.header.Service, memory.header.Caller, memory.header.Ingress, inbound.Buffer[offset:])
}

// picker decides one flow under its pin's lock.
type picker struct {
	plane    *dataPlane
	now      time.Time
	snapshot *steering.Snapshot
	service  *steering.Service
	random   *rand.Rand
	key      ownership.FlowKey
	failure  steering.Reason
}

func (p *picker) decide(held ownership.Pin, found bool) (ownership.Pin, bool) {
	if !found {
		return p.pickNew(ownership.Pin{Created: p.now}, -1)
	}
	target := p.snapshot.Target(held.Target)
	if target != nil && p.service.Protocol == catalog.ProtocolUDP {
		return held, true
	}
	if target == nil || p.shouldSteerAgain(&held) {
		return p.steerAgain(held, target)
	}
	return held, true
}

// shouldSteerAgain reports whether the target has left a retransmitted first
// flight unanswered. Once it has answered, the flow is its own for good.
func (p *picker) shouldSteerAgain(held *ownership.Pin) bool {
	return !held.Answered && held.Retries < maximumRetries && p.now.Sub(held.Created) > steerAgainAfter
}

func (p *picker) steerAgain(held ownership.Pin, silent *steering.Target) (ownership.Pin, bool) {
	excluded := -1
	if silent != nil {
		silent.Signal.NoteUnanswered(p.now)
		for index, target := range p.service.Targets {
			if target.Number == silent.Number {
				excluded = index
			}
		}
	}
	if silent != nil && !p.plane.limiter.AllowRetry(p.now, uint32(p.service.Number)) {
		return held, true
	}
	pin, picked := p.pickNew(ownership.Pin{Created: p.now, Retries: held.Retries + 1}, excluded)
	if !picked && silent != nil {
		return held, true
	}
	if picked {
		p.plane.counters.steered.Add(1)
	}
	return pin, picked
}

func (p *picker) pickNew(pin ownership.Pin, excluded int) (ownership.Pin, bool) {
	if pin.Retries == 0 && !p.isAdmitted() {
		p.failure = steering.ReasonAdmission
		return pin, false
	}
	index := p.choose(excluded)
	if index < 0 {
		p.failure = steering.ReasonNoTarget
		return pin, false
	}
	target := p.service.Targets[index]
	target.Signal.NotePick(p.now)
	p.plane.limiter.NoteFlow(p.now, uint32(p.service.Number))
	p.plane.counters.picked.Add(1)
	pin.Target = uint32(target.Number)
	return pin, true
}

// isAdmitted takes a new flow from the service's budget and the daemon's.
func (p *picker) isAdmitted() bool {
	number, limits := uint32(p.service.Number), p.service.Limits
	return p.plane.limiter.AllowFlow(p.now, number, limits.NewFlowsPerSecond, len(p.snapshot.Daemons())) &&
		p.plane.limiter.AllowPriority(p.now, p.service.Priority)
}

// choose picks by load. Plain UDP flows, whose pin dies with the owner, go by
// rendezvous hash instead, so that the next owner finds the same target.
func (p *picker) choose(excluded int) int {
	if p.service.Protocol == catalog.ProtocolUDP {
		return p.hashed()
	}
	request := balance.Request{
		Now: p.now, Zone: p.snapshot.Zone, LeaseHeld: p.now.Before(p.snapshot.LeaseEnds()), Excluded: excluded,
	}
	return balance.Pick(&request, p.service.Candidates, p.random)
}
