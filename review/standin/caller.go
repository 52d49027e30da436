//go:build review

package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/platform"
)

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2 * time.Second
	minCallerPort  = 10_000
)

// Copies of an opening packet, and of data that is not acknowledged, are sent this long after the
// first one.
var (
	openCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	dataCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

// caller is a host that sends requests.
type caller struct {
	address netip.Addr
	socket  *net.UDPConn
	router  *router
	record  *record
	// onReset is called with each reset and the address that sent it.
	onReset func(name flowName, from netip.Addr)

	requests  *atomic.Uint64
	mutex     sync.Mutex
	port      uint16
	flows     map[flowName]chan receivedPacket
	isStopped atomic.Bool
}

type receivedPacket struct {
	token.Packet
	payload []byte
}

type callerFlow struct {
	name                  flowName
	inbox                 chan receivedPacket
	token                 uint32
	nextSend, nextReceive uint32
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		length, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:length]...)
		var packet token.Packet
		if !(platform.PacketCodec{}).Parse(datagram, &packet) {
			continue
		}
		name := flowName{packet.Destination, packet.Source}
		if packet.IsReset {
			c.onReset(name, from.Addr().Unmap())
		}
		c.mutex.Lock()
		inbox := c.flows[name]
		c.mutex.Unlock()
		select {
		case inbox <- receivedPacket{packet, datagram[length-packet.PayloadLength:]}:
		default: // the flow has ended
		}
	}
}

// open opens a flow and returns nil if that failed.
func (c *caller) open(route netip.AddrPort) *callerFlow {
	c.mutex.Lock()
	c.port++
	flow := &callerFlow{
		name:  flowName{netip.AddrPortFrom(c.address, minCallerPort+c.port%50_000), route},
		inbox: make(chan receivedPacket, 16),
	}
	c.flows[flow.name] = flow.inbox
	c.mutex.Unlock()
	c.record.addf("caller opens %s to %s", flow.name.caller, route)
	answer, isAnswered := c.exchange(flow, token.Packet{IsOpening: true, Sequence: 1}, nil, openCopies, openTimeout)
	if !isAnswered {
		c.record.addf("caller: %s does not open", flow.name.caller)
		c.forget(flow)
		return nil
	}
	flow.token, flow.nextSend, flow.nextReceive = answer.Token, answer.Acknowledgement, answer.Sequence+1
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}, nil)
	return flow
}

func (c *caller) forget(flow *callerFlow) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.flows, flow.name)
}

func (c *caller) close(flow *callerFlow) {
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive, IsClosing: true}, nil)
	c.forget(flow)
}

// request sends one request and reports whether it was answered.
func (c *caller) request(flow *callerFlow) bool {
	number := c.requests.Add(1)
	message := binary.BigEndian.AppendUint64(nil, number)
	c.record.addf("caller sends request %d on %s", number, flow.name.caller)
	packet := token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}
	answer, isAnswered := c.exchange(flow, packet, message, dataCopies, requestTimeout)
	if !isAnswered {
		c.record.addf("caller: request %d on %s is not answered", number, flow.name.caller)
		return false
	}
	c.record.addf("caller: request %d is answered", binary.BigEndian.Uint64(answer.payload))
	flow.token = answer.Token
	flow.nextSend += uint32(len(message))
	flow.nextReceive = answer.Sequence + uint32(len(answer.payload))
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}, nil)
	return true
}

// exchange sends a packet and its copies until it is answered, the flow is reset or the time is up.
func (c *caller) exchange(flow *callerFlow, packet token.Packet, payload []byte, copies []time.Duration, timeout time.Duration) (receivedPacket, bool) {
	start, expired := time.Now(), time.After(timeout)
	c.send(flow, packet, payload)
	for {
		var copyDue <-chan time.Time
		if len(copies) > 0 {
			copyDue = time.After(time.Until(start.Add(copies[0])))
		}
		select {
		case <-expired:
			return receivedPacket{}, false
		case <-copyDue:
			copies = copies[1:]
			c.send(flow, packet, payload)
		case answer := <-flow.inbox:
			switch {
			case answer.IsReset:
				return receivedPacket{}, false
			case packet.IsOpening && answer.IsOpeningReply:
				return answer, true
			case !packet.IsOpening && !answer.IsOpeningReply && len(answer.payload) == 8:
				return answer, true
			case !packet.IsOpening && answer.Acknowledgement == packet.Sequence+uint32(len(payload)):
				copies = nil
			}
		}
	}
}

func (c *caller) send(flow *callerFlow, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = flow.name.caller, flow.name.route
	c.router.forward(flow.name, platform.PacketCodec{}.Encode(&packet, payload))
}

// keepFlow sends a request every pause on one flow, which it opens again after a failure.
func (c *caller) keepFlow(route netip.AddrPort, pause time.Duration) {
	for !c.isStopped.Load() {
		flow := c.open(route)
		for flow != nil && !c.isStopped.Load() {
			if !c.request(flow) {
				c.forget(flow)
				break
			}
			time.Sleep(pause)
		}
		time.Sleep(pause)
	}
}

// sendOnce opens a flow for one request.
func (c *caller) sendOnce(route netip.AddrPort) {
	if flow := c.open(route); flow != nil {
		c.request(flow)
		c.close(flow)
	}
}
