package storelab

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/platform"
)

const (
	// openTimeout and requestTimeout are the timeouts for opening a flow and for a response.
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2 * time.Second
	// minCallerPort is the lowest source port; each flow takes the next one.
	minCallerPort = 10_000
)

// openRetransmits and dataRetransmits are when a packet is retransmitted, relative to its first
// transmission.
var (
	openRetransmits = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	dataRetransmits = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

// trafficPattern describes the traffic that a caller sends to one route.
type trafficPattern struct {
	route netip.AddrPort
	// isIdempotent means that requests may run more than once.
	isIdempotent    bool
	requestsPerFlow int
	// maxPause bounds the time between two requests on a flow.
	maxPause time.Duration
}

// caller is a host that sends requests. All its flows share one socket.
type caller struct {
	socket   *net.UDPConn
	address  netip.Addr
	recorder *Recorder
	// isDaemon distinguishes daemons from targets, forward passes a packet to the router.
	isDaemon    func(from netip.AddrPort) bool
	forward     func(flow Flow, datagram []byte)
	lastRequest *atomic.Uint64

	mutex sync.Mutex
	flows map[Flow]chan received
	port  uint16
}

// received is a packet that a caller received.
type received struct {
	packet       token.Packet
	payload      []byte
	isFromDaemon bool
}

// inboxLength is the number of received packets that are queued per flow.
const inboxLength = 16

func (c *caller) receive() {
	receive(c.socket, func(from netip.AddrPort, datagram []byte) {
		var packet token.Packet
		if !(platform.PacketCodec{}).Parse(datagram, &packet) {
			return
		}
		name := Flow{Caller: packet.Destination, Route: packet.Source}
		isFromDaemon := c.isDaemon(from)
		if packet.IsReset && isFromDaemon {
			c.recorder.Record(Event{Kind: FlowReset, Flow: name})
		}
		c.mutex.Lock()
		inbox := c.flows[name]
		c.mutex.Unlock()
		select {
		case inbox <- received{packet: packet, payload: datagram[len(datagram)-packet.PayloadLength:], isFromDaemon: isFromDaemon}:
		default: // the flow is closed, or its inbox is full
		}
	})
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context, pattern trafficPattern, random *rand.Rand) {
	for ctx.Err() == nil {
		flow := c.open(ctx, pattern.route)
		if flow == nil {
			sleep(ctx, openTimeout/4)
			continue
		}
		for range pattern.requestsPerFlow {
			if !c.request(ctx, flow, pattern, random) {
				break
			}
			sleep(ctx, time.Duration(random.Int64N(int64(pattern.maxPause))))
		}
		c.close(flow)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// callerFlow is a caller's state of a flow.
type callerFlow struct {
	name  Flow
	inbox chan received
	// token is the last one received; nextSend and nextReceive are the sequence numbers of
	// the next byte to send and to receive.
	token                 uint32
	nextSend, nextReceive uint32
}

// open opens a flow, and returns nil if the handshake failed.
func (c *caller) open(ctx context.Context, route netip.AddrPort) *callerFlow {
	c.mutex.Lock()
	c.port++
	flow := &callerFlow{name: Flow{Caller: netip.AddrPortFrom(c.address, minCallerPort+c.port%50_000), Route: route}, inbox: make(chan received, inboxLength)}
	c.flows[flow.name] = flow.inbox
	c.mutex.Unlock()
	opening := token.Packet{IsOpening: true, Sequence: 1}
	answer, isAnswered := c.exchange(ctx, flow, opening, nil, openRetransmits, openTimeout, func(answer *received) bool { return answer.packet.IsOpeningReply })
	if !isAnswered {
		c.removeFlow(flow)
		return nil
	}
	flow.token, flow.nextSend, flow.nextReceive = answer.packet.Token, answer.packet.Acknowledgement, answer.packet.Sequence+1
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}, nil)
	return flow
}

func (c *caller) close(flow *callerFlow) {
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive, IsClosing: true}, nil)
	c.removeFlow(flow)
}

func (c *caller) removeFlow(flow *callerFlow) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.flows, flow.name)
}

// request sends one request and reports whether its flow can still be used.
func (c *caller) request(ctx context.Context, flow *callerFlow, pattern trafficPattern, random *rand.Rand) bool {
	number := c.lastRequest.Add(1)
	message := requestMessage{number: number, work: byte(5 + random.IntN(20))}.encode()
	c.recorder.Record(Event{Kind: RequestSent, Flow: flow.name, Request: number, IsIdempotent: pattern.isIdempotent})
	packet := token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}
	answer, isAnswered := c.exchange(ctx, flow, packet, message, dataRetransmits, requestTimeout, func(answer *received) bool { return len(answer.payload) > 0 })
	decoded, isRead := decodeAnswer(answer.payload)
	switch {
	case ctx.Err() != nil:
		return false
	case !isAnswered || !isRead:
		c.recorder.Record(Event{Kind: RequestFailed, Flow: flow.name, Request: number, IsIdempotent: pattern.isIdempotent})
		return false
	}
	c.recorder.Record(Event{Kind: RequestAnswered, Flow: flow.name, Request: decoded.number, Target: decoded.target})
	flow.token = answer.packet.Token
	flow.nextSend += uint32(len(message))
	flow.nextReceive = answer.packet.Sequence + uint32(len(answer.payload))
	c.send(flow, token.Packet{Token: flow.token, Sequence: flow.nextSend, Acknowledgement: flow.nextReceive}, nil)
	return true
}

// exchange sends a packet and retransmits it until a response arrives, the flow is reset or
// the timeout has passed.
func (c *caller) exchange(ctx context.Context, flow *callerFlow, packet token.Packet, payload []byte, retransmits []time.Duration, timeout time.Duration, isAnswer func(*received) bool) (received, bool) {
	start := time.Now()
	expired := time.After(timeout)
	c.send(flow, packet, payload)
	for {
		var retransmit <-chan time.Time
		if len(retransmits) > 0 {
			retransmit = time.After(time.Until(start.Add(retransmits[0])))
		}
		select {
		case <-ctx.Done():
			return received{}, false
		case <-expired:
			return received{}, false
		case <-retransmit:
			retransmits = retransmits[1:]
			c.send(flow, packet, payload)
		case answer := <-flow.inbox:
			switch {
			case answer.packet.IsReset:
				return received{}, false
			case isAnswer(&answer):
				return answer, true
			case !packet.IsOpening && answer.packet.Acknowledgement == packet.Sequence+uint32(len(payload)):
				retransmits = nil // acknowledged
			}
		}
	}
}

// send hands a packet to the router.
func (c *caller) send(flow *callerFlow, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = flow.name.Caller, flow.name.Route
	c.forward(flow.name, platform.PacketCodec{}.Encode(&packet, payload))
}
