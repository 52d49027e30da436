package storelab

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/platform"
)

// firstSequence is a target's initial sequence number.
const firstSequence = 5000

// target is one incarnation of a back end, with a UDP socket for flows and a TCP listener for
// health checks.
type target struct {
	identifier uint64
	service    string
	address    netip.AddrPort
	callerPort uint16
	// startedAt is published as the incarnation in the target's entries.
	startedAt time.Time
	// slowStart is how long the target is in slow start. isDraining is the state last written; the
	// site's mutex guards both.
	slowStart  time.Duration
	isDraining bool
	hasEnded   atomic.Bool
	recorder   *Recorder
	socket     *net.UDPConn
	listener   net.Listener

	mutex sync.Mutex
	flows map[Flow]*targetFlow
}

// targetFlow is a target's state of a flow.
type targetFlow struct {
	// token is the last one received, which the target's packets carry.
	token  uint32
	isOpen bool
	// received and sent are the sequence numbers of the next byte to receive and to send.
	received, sent uint32
	// answer is the last response, kept for retransmission; empty while the target works on it.
	answer []byte
}

func startTarget(identifier uint64, service string, address netip.AddrPort, callerPort uint16, recorder *Recorder) (*target, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	t := &target{
		identifier: identifier, service: service, address: address, callerPort: callerPort, startedAt: time.Now(), recorder: recorder,
		socket: socket, listener: listener, flows: map[Flow]*targetFlow{},
	}
	recorder.Record(Event{Kind: TargetStarted, Target: identifier, Service: service})
	go receive(socket, func(_ netip.AddrPort, datagram []byte) { t.handlePacket(datagram) })
	go t.accept()
	return t, nil
}

// accept closes connections at once: health checks only test whether the port accepts connections.
func (t *target) accept() {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			return
		}
		_ = connection.Close()
	}
}

// end stops the target without notice.
func (t *target) end() {
	t.hasEnded.Store(true)
	t.recorder.Record(Event{Kind: TargetEnded, Target: t.identifier})
	_ = t.socket.Close()
	_ = t.listener.Close()
}

func (t *target) handlePacket(datagram []byte) {
	codec := platform.PacketCodec{}
	intended, datagram, ok := codec.ParseAddressed(datagram)
	var packet token.Packet
	if !ok || intended != 0 && intended != t.identifier || !codec.Parse(datagram, &packet) {
		return
	}
	name := Flow{Caller: packet.Source, Route: packet.Destination}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow := t.flows[name]
	switch {
	case packet.IsOpening:
		t.open(name, flow, &packet)
	case flow == nil:
		t.send(name, token.Packet{IsReset: true, Sequence: packet.Acknowledgement}, nil)
	case packet.IsReset || packet.IsClosing:
		delete(t.flows, name)
	default:
		t.handleData(name, flow, &packet, datagram[len(datagram)-packet.PayloadLength:])
	}
}

func (t *target) open(name Flow, flow *targetFlow, packet *token.Packet) {
	if flow == nil {
		flow = &targetFlow{received: packet.Sequence + 1, sent: firstSequence + 1}
		t.flows[name] = flow
		t.recorder.Record(Event{Kind: OpeningAccepted, Flow: name, Target: t.identifier, Service: t.service})
	}
	flow.token = packet.Token
	t.send(name, token.Packet{IsOpening: true, IsOpeningReply: true, Token: flow.token, Sequence: firstSequence, Acknowledgement: flow.received}, nil)
}

func (t *target) handleData(name Flow, flow *targetFlow, packet *token.Packet, payload []byte) {
	flow.token = packet.Token
	if !flow.isOpen {
		if packet.Acknowledgement != firstSequence+1 {
			return // it acknowledges another target's response
		}
		flow.isOpen = true
		t.recorder.Record(Event{Kind: FlowOpened, Flow: name, Target: t.identifier, Service: t.service})
	}
	if packet.PayloadLength == 0 {
		return
	}
	request, ok := decodeRequest(payload)
	isNew := packet.Sequence == flow.received
	if ok && isNew {
		flow.received += uint32(len(payload))
		flow.sent = packet.Acknowledgement
		flow.answer = nil
		t.recorder.Record(Event{Kind: RequestRan, Flow: name, Target: t.identifier, Request: request.number})
		time.AfterFunc(time.Duration(request.work)*time.Millisecond, func() { t.finish(name, flow, request) })
	}
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// finish sends the response to a processed request.
func (t *target) finish(name Flow, flow *targetFlow, request requestMessage) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow.answer = answerMessage{number: request.number, target: t.identifier}.encode()
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// send writes directly to a flow's caller, bypassing the daemons.
func (t *target) send(name Flow, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = name.Route, name.Caller
	datagram := platform.PacketCodec{}.Encode(&packet, payload)
	_, _ = t.socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(name.Caller.Addr(), t.callerPort)) // treated as packet loss
}
