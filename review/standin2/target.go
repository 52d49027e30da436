//go:build review

package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

// endMargin is how much longer than the drain time a leaving target serves.
const endMargin = 500 * time.Millisecond

// flowName names a flow by its two ends.
type flowName struct{ caller, route netip.AddrPort }

// target is a back end.
type target struct {
	site       *site
	identifier uint64
	service    string
	zone       string
	address    netip.AddrPort
	socket     *net.UDPConn
	listener   net.Listener

	mutex   sync.Mutex
	flows   map[flowName]*targetFlow
	leftAt  time.Time
	ended   bool
	opening []opening
	// unanswered are the requests that it began and has not answered.
	unanswered map[uint64]bool
}

// opening is the first packet of a flow that the target took, and the daemon that sent it on.
type opening struct {
	name   flowName
	at     time.Time
	daemon *daemon
}

type targetFlow struct {
	initial        uint32
	received, sent uint32
	token          uint32
	isOpen         bool
	answer         []byte
}

func startTarget(identifier uint64, service, zone string, address netip.AddrPort, s *site) (*target, error) {
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
		site: s, identifier: identifier, service: service, zone: zone, address: address, socket: socket, listener: listener,
		flows: map[flowName]*targetFlow{}, unanswered: map[uint64]bool{},
	}
	go receive(socket, t.handle)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	return t, nil
}

// entry returns what the target writes about itself.
func (t *target) entry() *storeview.Target {
	return &storeview.Target{Identifier: t.identifier, Service: t.service, Address: t.address, Zone: t.zone, Slots: 2, Sequence: 1}
}

func (t *target) leave(at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leftAt = at
}

func (t *target) isLeaving() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.leftAt.IsZero()
}

// end stops the target. Requests in progress are lost.
func (t *target) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ended = true
	for number := range t.unanswered {
		t.site.record.note("target %x ends with request %d in progress", t.identifier, number)
	}
	t.site.record.note("target %x ends", t.identifier)
	t.closeSockets()
}

func (t *target) closeSockets() {
	_ = t.socket.Close()
	_ = t.listener.Close()
}

func (t *target) handle(from netip.AddrPort, datagram []byte) {
	at := time.Now()
	codec := platform.PacketCodec{}
	intended, datagram, ok := codec.ParseAddressed(datagram)
	var packet token.Packet
	if !ok || intended != 0 && intended != t.identifier || !codec.Parse(datagram, &packet) {
		return
	}
	name := flowName{caller: packet.Source, route: packet.Destination}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow := t.flows[name]
	switch {
	case t.ended:
	case packet.IsOpening:
		t.open(name, flow, &packet, from, at)
	case flow == nil:
		t.send(name, token.Packet{IsReset: true, Sequence: packet.Acknowledgement}, nil)
	case packet.IsReset || packet.IsClosing:
		delete(t.flows, name)
	default:
		t.handleData(name, flow, &packet, datagram[len(datagram)-packet.PayloadLength:])
	}
}

func (t *target) open(name flowName, flow *targetFlow, packet *token.Packet, from netip.AddrPort, at time.Time) {
	if flow == nil {
		flow = &targetFlow{received: packet.Sequence + 1, initial: rand.Uint32()}
		flow.sent = flow.initial + 1
		t.flows[name] = flow
		sender := t.site.daemonAt(from)
		t.opening = append(t.opening, opening{name: name, at: at, daemon: sender})
		if sender != nil {
			t.site.record.note("target %x takes the first packet of %s from %s", t.identifier, name.caller, sender.name)
		}
	}
	flow.token = packet.Token
	t.send(name, token.Packet{IsOpening: true, IsOpeningReply: true, Token: flow.token, Sequence: flow.initial, Acknowledgement: flow.received}, nil)
}

func (t *target) handleData(name flowName, flow *targetFlow, packet *token.Packet, payload []byte) {
	flow.token = packet.Token
	if !flow.isOpen && packet.Acknowledgement != flow.initial+1 {
		return // it acknowledges another target
	}
	flow.isOpen = true
	if packet.PayloadLength == 0 {
		return
	}
	if packet.Sequence == flow.received {
		flow.received += uint32(len(payload))
		flow.sent, flow.answer = packet.Acknowledgement, nil
		number := binary.BigEndian.Uint64(payload)
		t.unanswered[number] = true
		t.site.record.note("target %x runs request %d", t.identifier, number)
		time.AfterFunc(workTime(number), func() { t.finish(name, flow, number) })
	}
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// workTime returns how long a request runs, 5 to 90 ms.
func workTime(number uint64) time.Duration { return time.Duration(5+number*37%86) * time.Millisecond }

func (t *target) finish(name flowName, flow *targetFlow, number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ended {
		return
	}
	delete(t.unanswered, number)
	flow.answer = binary.BigEndian.AppendUint64(nil, number)
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// send sends a packet to the client directly.
func (t *target) send(name flowName, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = name.route, name.caller
	datagram := platform.PacketCodec{}.Encode(&packet, payload)
	_, _ = t.socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(name.caller.Addr(), portData))
}

// openings returns the first packets that the target took.
func (t *target) openings() (taken []opening, leftAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]opening(nil), t.opening...), t.leftAt
}

// openFlows returns the flows that are open at the target.
func (t *target) openFlows() []flowName {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var open []flowName
	for name, flow := range t.flows {
		if flow.isOpen {
			open = append(open, name)
		}
	}
	return open
}
