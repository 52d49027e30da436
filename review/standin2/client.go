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
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 2 * time.Second
	// firstPort is the port of a client's first flow; each flow has its own.
	firstPort = 1025
	// requestBytes is the length of a request and of its answer.
	requestBytes = 8
)

// openCopies are when copies of a first packet are sent, dataCopies those of a request.
var (
	openCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	dataCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

// lastRequest is the number of the latest request.
var lastRequest atomic.Uint64

// client is a host that opens a flow for each request.
type client struct {
	site    *site
	socket  *net.UDPConn
	address netip.Addr

	mutex sync.Mutex
	port  uint16
	flows map[flowName]chan token.Packet
}

func (s *site) addClients() error {
	for index := range 4 {
		address := s.address(netClients, index+1, portData)
		socket, err := listenUDP(address)
		if err != nil {
			return err
		}
		c := &client{site: s, socket: socket, address: address.Addr(), port: firstPort, flows: map[flowName]chan token.Packet{}}
		go receive(socket, c.handle)
		s.clients = append(s.clients, c)
	}
	return nil
}

func (c *client) handle(from netip.AddrPort, datagram []byte) {
	var packet token.Packet
	if !(platform.PacketCodec{}).Parse(datagram, &packet) {
		return
	}
	name := flowName{caller: packet.Destination, route: packet.Source}
	if sender := c.site.daemonAt(from); sender != nil && packet.IsReset {
		c.site.noteReset(reset{name: name, at: time.Now(), daemon: sender})
	}
	c.mutex.Lock()
	inbox := c.flows[name]
	c.mutex.Unlock()
	select {
	case inbox <- packet:
	default: // the flow has ended
	}
}

// sendAt sends requests to a route at a rate until a channel is closed.
func (c *client) sendAt(route netip.AddrPort, interval time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			go c.request(route)
		}
	}
}

// flow is a client's end of a flow.
type flow struct {
	name  flowName
	inbox chan token.Packet
	// token is the last one received, sequence the next byte to send, expected the next to receive.
	token              uint32
	sequence, expected uint32
}

// open opens a flow from a new port; nil if that failed.
func (c *client) open(route netip.AddrPort) *flow {
	f := &flow{inbox: make(chan token.Packet, 16)}
	c.mutex.Lock()
	c.port++
	f.name = flowName{caller: netip.AddrPortFrom(c.address, c.port), route: route}
	c.flows[f.name] = f.inbox
	c.mutex.Unlock()
	reply, isOpen := c.exchange(f, token.Packet{IsOpening: true, Sequence: 1}, nil, openCopies, openTimeout, func(reply *token.Packet) bool { return reply.IsOpeningReply })
	if !isOpen {
		c.forget(f)
		return nil
	}
	f.token, f.sequence, f.expected = reply.Token, 2, reply.Sequence+1
	return f
}

func (c *client) forget(f *flow) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.flows, f.name)
}

// ask sends a request on an open flow and reports whether it was answered.
func (c *client) ask(f *flow, number uint64) bool {
	c.site.record.note("client sends request %d on %s to %s", number, f.name.caller, f.name.route)
	packet := token.Packet{Token: f.token, Sequence: f.sequence, Acknowledgement: f.expected}
	answer, isAnswered := c.exchange(f, packet, binary.BigEndian.AppendUint64(nil, number), dataCopies, requestDeadline, func(reply *token.Packet) bool { return reply.PayloadLength > 0 && reply.Sequence == f.expected })
	if !isAnswered {
		c.site.record.note("client: request %d has no answer", number)
		return false
	}
	c.site.record.note("client: request %d is answered", number)
	f.token, f.sequence, f.expected = answer.Token, f.sequence+requestBytes, answer.Sequence+uint32(answer.PayloadLength)
	c.send(f, token.Packet{Token: f.token, Sequence: f.sequence, Acknowledgement: f.expected}, nil)
	return true
}

// request opens a flow, sends one request on it and closes it.
func (c *client) request(route netip.AddrPort) {
	number := lastRequest.Add(1)
	f := c.open(route)
	if f == nil {
		c.site.record.note("client: request %d has failed, its flow never opened", number)
		return
	}
	defer c.forget(f)
	if c.ask(f, number) {
		c.send(f, token.Packet{Token: f.token, Sequence: f.sequence, Acknowledgement: f.expected, IsClosing: true}, nil)
	}
}

// keep keeps a flow open for requests with pauses, and opens another one when it is lost, until a channel
// is closed.
func (c *client) keep(route netip.AddrPort, pause time.Duration, done <-chan struct{}) {
	var f *flow
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		if f == nil {
			f = c.open(route)
		}
		if f != nil && !c.ask(f, lastRequest.Add(1)) {
			c.forget(f)
			f = nil
		}
	}
}

// exchange sends a packet and its copies until a reply arrives, the flow is reset or the time is over.
func (c *client) exchange(f *flow, packet token.Packet, payload []byte, copies []time.Duration, timeout time.Duration, isReply func(*token.Packet) bool) (token.Packet, bool) {
	started, expired := time.Now(), time.After(timeout)
	c.send(f, packet, payload)
	for {
		var next <-chan time.Time
		if len(copies) > 0 {
			next = time.After(time.Until(started.Add(copies[0])))
		}
		select {
		case <-expired:
			return token.Packet{}, false
		case <-next:
			copies = copies[1:]
			c.send(f, packet, payload)
		case reply := <-f.inbox:
			switch {
			case reply.IsReset:
				return token.Packet{}, false
			case isReply(&reply):
				return reply, true
			case !packet.IsOpening && reply.Acknowledgement == packet.Sequence+uint32(len(payload)):
				copies = nil // acknowledged
			}
		}
	}
}

func (c *client) send(f *flow, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = f.name.caller, f.name.route
	c.site.router.forward(f.name.caller, f.name.route, platform.PacketCodec{}.Encode(&packet, payload))
}
