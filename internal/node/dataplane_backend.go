package node

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/steering"
)

// backendHandler handles datagrams from targets and other daemons.
type backendHandler struct{ *dataPlane }

// Handle implements forwarding.Handler. Packets between daemons are accepted only from current or recent members.
func (h backendHandler) Handle(worker *forwarding.Worker, inbound *forwarding.Inbound) {
	wctx := worker.Context.(*workerContext)
	offset, err := encapsulation.Parse(inbound.Datagram(), &wctx.header)
	if err != nil {
		h.drop(steering.ReasonMalformed)
		return
	}
	offset += forwarding.Headroom
	switch wctx.header.Kind {
	case encapsulation.KindFromTarget:
		h.handleReply(worker, inbound, offset)
	case encapsulation.KindToOwner:
		if !h.snapshot.Load().IsPeer(inbound.Source) {
			h.drop(steering.ReasonForeignSource)
			return
		}
		if !h.caughtUp.Load() {
			// Without an acknowledgement the sender tries the next owner.
			h.drop(steering.ReasonNotCaughtUp)
			return
		}
		h.acknowledge(worker, inbound.Source)
		h.steer(worker, inbound, offset, true)
	case encapsulation.KindOwnerAcknowledgement:
		if peer := h.peers.Find(inbound.Source); peer != nil {
			peer.RecordAcknowledgement()
		}
	case encapsulation.KindReplicatePin:
		if !h.snapshot.Load().IsPeer(inbound.Source) {
			h.drop(steering.ReasonForeignSource)
			return
		}
		h.storePin(&wctx.header)
	case encapsulation.KindToIngress:
		if !h.snapshot.Load().IsPeer(inbound.Source) {
			h.drop(steering.ReasonForeignSource)
			return
		}
		h.sendToCaller(worker, inbound, offset)
	default:
		h.drop(steering.ReasonNotOurs)
	}
}

// acknowledge confirms a handover to the daemon that sent it.
func (h backendHandler) acknowledge(worker *forwarding.Worker, peer netip.AddrPort) {
	wctx := worker.Context.(*workerContext)
	wctx.reply = encapsulation.Header{
		Kind: encapsulation.KindOwnerAcknowledgement, Caller: wctx.header.Caller, Service: wctx.header.Service,
	}
	worker.Send(h.backend, peer, encapsulation.Append(nil, &wctx.reply))
}

// handleReply records the load report in a target's reply and forwards the payload to the caller. The source address
// must be that of the target named in the header.
func (h backendHandler) handleReply(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int) {
	wctx := worker.Context.(*workerContext)
	header := &wctx.header
	target := h.snapshot.Load().Target(header.TargetNumber)
	if target == nil {
		h.drop(steering.ReasonTargetGone)
		return
	}
	if target.Address != inbound.Source || uint32(target.Service.Number) != header.ServiceNumber {
		h.drop(steering.ReasonForeignSource)
		return
	}
	now := time.Now()
	target.Signal.Observe(now, &header.Report)
	if offset == len(inbound.Buffer) {
		return // response to a probe: a report without a payload
	}
	if target.Service.Address != header.Service {
		h.drop(steering.ReasonForeignService)
		return
	}
	if h.pins.MarkAnswered(header.ServiceNumber, header.Caller, header.TargetNumber) {
		target.Signal.RecordResponse()
	}
	if header.Ingress.IsValid() && header.Ingress != h.self {
		h.relay(worker, inbound, offset)
		return
	}
	h.sendToCaller(worker, inbound, offset)
}

// relay forwards a reply to the ingress daemon, whose address the caller sent to.
func (h backendHandler) relay(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int) {
	wctx := worker.Context.(*workerContext)
	ingress := wctx.header.Ingress
	if !h.snapshot.Load().IsPeer(ingress) {
		h.drop(steering.ReasonForeignSource)
		return
	}
	h.counters.relayed.Add(1)
	wctx.header.Kind = encapsulation.KindToIngress
	wctx.header.Names = nil
	h.send(worker, inbound, offset, &wctx.header, ingress)
}

// sendToCaller sends a payload to its caller, from the direct socket the caller used or through the fabric.
func (d *dataPlane) sendToCaller(worker *forwarding.Worker, inbound *forwarding.Inbound, offset int) {
	wctx := worker.Context.(*workerContext)
	header := &wctx.header
	d.counters.returned.Add(1)
	if socket := d.direct[header.Service]; socket != nil && header.Ingress.IsValid() {
		worker.Send(socket, header.Caller, inbound.Buffer[offset:])
		return
	}
	if d.egress == nil {
		d.drop(steering.ReasonUnknownService)
		return
	}
	wctx.reply = encapsulation.Header{Kind: encapsulation.KindFabric, Caller: header.Caller, Service: header.Service}
	datagram, fits := forwarding.Rewrite(inbound, offset, &wctx.reply, wctx.encodeBuf[:])
	if !fits {
		d.drop(steering.ReasonOversized)
		return
	}
	worker.Send(d.egress, d.fabricEgress, datagram)
}

// sendRefusal sends a locally generated refusal to its caller. It runs outside the workers and therefore writes
// without batching.
func (d *dataPlane) sendRefusal(service, caller, ingress netip.AddrPort, datagram []byte) {
	if ingress == d.self {
		if socket := d.direct[service]; socket != nil {
			writeOne(socket, caller, datagram)
		}
		return
	}
	header := encapsulation.Header{Kind: encapsulation.KindFabric, Caller: caller, Service: service}
	socket, to := d.egress, d.fabricEgress
	if ingress.IsValid() {
		header.Kind = encapsulation.KindToIngress
		header.Ingress = ingress
		socket, to = d.backend, ingress
	}
	if socket == nil {
		return
	}
	writeOne(socket, to, append(encapsulation.Append(nil, &header), datagram...))
}

// probe requests a target's load report by a datagram without a payload.
func (d *dataPlane) probe(snapshot *steering.Snapshot, target *steering.Target) {
	d.counters.probes.Add(1)
	header := encapsulation.Header{
		Kind: encapsulation.KindToTarget, Caller: d.self, Service: target.Service.Address,
		ServiceNumber: uint32(target.Service.Number), TargetNumber: uint32(target.Number),
		Revision: snapshot.Revision, Draining: target.Draining, Names: target.Names,
	}
	writeOne(d.backend, target.Address, encapsulation.Append(nil, &header))
}
