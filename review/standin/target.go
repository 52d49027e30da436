//go:build review

package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

// firstSequence is a target's first sequence number.
const firstSequence = 5000

// workTime is how long a target works on a request.
const workTime = 60 * time.Millisecond

type flowName struct{ caller, route netip.AddrPort }

// target is one incarnation of a target: flows over UDP, health checks over TCP, and its entry in the
// store.
type target struct {
	entry storeview.Target
	// cold is how long the target is slow from its start.
	cold       time.Duration
	callerPort uint16
	startedAt  time.Time
	record     *record
	store      *store
	socket     *net.UDPConn
	listener   net.Listener
	stopped    chan struct{}
	// writeEntry does a write of the target's entry in the store; it may do it late.
	writeEntry func(entry storeview.Target)

	mutex sync.Mutex
	ended bool
	flows map[flowName]*targetFlow
	// takenAt is when the opening packet of each flow was first taken.
	takenAt map[flowName]time.Time
}

type targetFlow struct {
	token          uint32
	isOpen         bool
	openedAt       time.Time
	received, sent uint32
	answer         []byte
	running        uint64
}

func startTarget(entry storeview.Target, cold time.Duration, callerPort uint16, record *record, store *store) (*target, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(entry.Address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", entry.Address.String())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	t := &target{
		entry: entry, cold: cold, callerPort: callerPort, startedAt: time.Now(), record: record, store: store,
		socket: socket, listener: listener, stopped: make(chan struct{}), flows: map[flowName]*targetFlow{}, takenAt: map[flowName]time.Time{},
	}
	t.writeEntry = store.writeTarget
	record.addf("target %x of %s starts at %s", entry.Identifier, entry.Service, entry.Address)
	go t.accept()
	go t.receive()
	go t.renew()
	return t, nil
}

// accept answers health checks that only open a connection.
func (t *target) accept() {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			return
		}
		_ = connection.Close()
	}
}

// renew writes the target's entry about every heartbeat.
func (t *target) renew() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		t.mutex.Lock()
		entry, write, ended := t.currentEntry(), t.writeEntry, t.ended
		t.mutex.Unlock()
		if ended {
			return
		}
		write(entry)
		select {
		case <-ticker.C:
		case <-t.stopped:
			return
		}
	}
}

// currentEntry returns the entry to write now; ColdLeftMs is in whole milliseconds.
func (t *target) currentEntry() storeview.Target {
	entry := t.entry
	entry.SlowStartRemaining = max(0, t.cold-time.Since(t.startedAt)).Truncate(time.Millisecond)
	return entry
}

// setWriteEntry replaces how later entries are written.
func (t *target) setWriteEntry(write func(entry storeview.Target)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.writeEntry = write
}

// drain writes that the target is draining.
func (t *target) drain() {
	t.mutex.Lock()
	t.entry.Draining = true
	entry := t.currentEntry()
	t.mutex.Unlock()
	t.store.writeTarget(entry)
}

// end ends the target. Its entry stays until it expires.
func (t *target) end() {
	t.mutex.Lock()
	t.ended = true
	t.mutex.Unlock()
	close(t.stopped)
	_ = t.socket.Close()
	_ = t.listener.Close()
	t.record.addf("target %x ends, requests that run: %v", t.entry.Identifier, t.cutOff())
}

// cutOff returns the requests that ran as the target ended.
func (t *target) cutOff() []uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var requests []uint64
	for _, flow := range t.flows {
		if t.ended && flow.running != 0 {
			requests = append(requests, flow.running)
		}
	}
	return requests
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		length, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		t.handle(append([]byte(nil), buffer[:length]...))
	}
}

func (t *target) handle(datagram []byte) {
	codec := platform.PacketCodec{}
	intended, datagram, ok := codec.ParseAddressed(datagram)
	var packet token.Packet
	if !ok || intended != 0 && intended != t.entry.Identifier || !codec.Parse(datagram, &packet) {
		return
	}
	name := flowName{packet.Source, packet.Destination}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow := t.flows[name]
	switch {
	case t.ended:
	case packet.IsOpening:
		t.open(name, flow, &packet)
	case flow == nil:
		t.send(name, token.Packet{IsReset: true, Sequence: packet.Acknowledgement}, nil)
	case packet.IsReset || packet.IsClosing:
		delete(t.flows, name)
	default:
		t.data(name, flow, &packet, datagram[len(datagram)-packet.PayloadLength:])
	}
}

// open takes the opening packet of a flow.
func (t *target) open(name flowName, flow *targetFlow, packet *token.Packet) {
	if flow == nil {
		flow = &targetFlow{received: packet.Sequence + 1, sent: firstSequence + 1}
		t.flows[name] = flow
		t.takenAt[name] = time.Now()
		t.record.addf("target %x takes the opening packet of %s", t.entry.Identifier, name.caller)
	}
	flow.token = packet.Token
	t.send(name, token.Packet{IsOpening: true, IsOpeningReply: true, Token: flow.token, Sequence: firstSequence, Acknowledgement: flow.received}, nil)
}

func (t *target) data(name flowName, flow *targetFlow, packet *token.Packet, payload []byte) {
	flow.token = packet.Token
	if !flow.isOpen {
		if packet.Acknowledgement != firstSequence+1 {
			return
		}
		flow.isOpen, flow.openedAt = true, time.Now()
	}
	if len(payload) == 0 {
		return
	}
	if packet.Sequence == flow.received && len(payload) == 8 {
		flow.received += uint32(len(payload))
		flow.sent = packet.Acknowledgement
		flow.answer = nil
		flow.running = binary.BigEndian.Uint64(payload)
		t.record.addf("target %x runs request %d of %s", t.entry.Identifier, flow.running, name.caller)
		time.AfterFunc(workTime, func() { t.finish(name, flow) })
	}
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// finish sends the answer to the request that runs on a flow.
func (t *target) finish(name flowName, flow *targetFlow) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ended || flow.running == 0 {
		return
	}
	flow.answer = binary.BigEndian.AppendUint64(nil, flow.running)
	flow.running = 0
	t.send(name, token.Packet{Token: flow.token, Sequence: flow.sent, Acknowledgement: flow.received}, flow.answer)
}

// send writes to a flow's caller directly.
func (t *target) send(name flowName, packet token.Packet, payload []byte) {
	packet.Source, packet.Destination = name.route, name.caller
	datagram := platform.PacketCodec{}.Encode(&packet, payload)
	_, _ = t.socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(name.caller.Addr(), t.callerPort)) // a lost packet is sent again
}

// openFlow returns since when a flow is open at this target and the request that runs on it, 0 for
// none. isOpen is false if it is not open here or the target has ended.
func (t *target) openFlow(name flowName) (openedAt time.Time, running uint64, isOpen bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	flow := t.flows[name]
	if t.ended || flow == nil || !flow.isOpen {
		return time.Time{}, 0, false
	}
	return flow.openedAt, flow.running, true
}
