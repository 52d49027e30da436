package storenode

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/ipv4"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/loop"
	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/overload"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

// sequenceCodec extends testCodec by packets that close a flow and by a sequence number, which is the
// first byte of the payload.
type sequenceCodec struct{ testCodec }

const kindClosing = 3

func (c sequenceCodec) Parse(datagram []byte, into *token.Packet) bool {
	if !c.testCodec.Parse(datagram, into) {
		return false
	}
	if len(datagram) > testHeaderBytes {
		into.Sequence = uint32(datagram[testHeaderBytes])
	}
	into.IsClosing = datagram[testHeaderBytes-1] == kindClosing
	return true
}

// recordingSocket records the datagrams written to it.
type recordingSocket struct {
	forwarding.Socket
	sent [][]byte
}

func (s *recordingSocket) WriteBatch(messages []ipv4.Message, _ int) (int, error) {
	for index := range messages {
		s.sent = append(s.sent, append([]byte(nil), messages[index].Buffers[0]...))
	}
	return len(messages), nil
}

// overloadedPlane is a data path whose only service is overloaded: it has no capacity for ordinary
// work.
type overloadedPlane struct {
	*tokenPlane
	socket     *recordingSocket
	load       *overload.Controller
	inProgress int
}

// newOverloadedPlane returns a plane that queues at most the given number of packets.
func newOverloadedPlane(t *testing.T, maxQueued int) *overloadedPlane {
	t.Helper()
	now := time.Now()
	cfg := newTestSettings(0)
	cfg.Data.Held = maxQueued
	plane := &overloadedPlane{socket: &recordingSocket{}}
	plane.tokenPlane = newTokenPlane(cfg, sequenceCodec{}, plane.socket, logr.Discard(), loop.New().PausedFor)
	view := storeview.New(time.Minute)
	view.Merge(now, []storeview.Entry{
		{Key: "config", Revision: 1, Configuration: &storeview.Configuration{
			Version:  1,
			Routes:   []storeview.Route{{Address: testRoute, Priority: 2, Backends: []storeview.Backend{{Service: "s", Weight: 1}}}},
			Services: []storeview.Service{{Name: "s"}},
		}},
		{Key: "target", Revision: 2, Target: &storeview.Target{Identifier: 77, Service: "s", Zone: "zone", Slots: 2, Address: nodetest.Address(100, 1)}},
	})
	plane.apply(now, newBuilder(cfg).Build(now, view))
	plane.tickQueue(now, 88)
	plane.table.Load().EachLoad(func(_ string, load *overload.Controller) { plane.load = load })
	for range 50 {
		plane.load.RecordResponse(now, 1, 1000)
	}
	for range 50 { // rejections in the future, so that they cannot expire during the test
		plane.load.RecordResponse(now.Add(time.Hour), 1, 100)
	}
	for plane.load.AdmitFlow(now.Add(time.Hour), overload.Ordinary) {
		plane.load.Begin(overload.Preferred)
		plane.inProgress++
	}
	return plane
}

// freeCapacity ends the work that uses up the capacity.
func (p *overloadedPlane) freeCapacity() {
	for ; p.inProgress > 0; p.inProgress-- {
		p.load.End(overload.Preferred)
	}
}

func newInbound(number int, kind byte, payload string) *forwarding.Inbound {
	value := token.BoundTokenAt(testRoute, 77)
	if kind == kindFirst {
		value = 0
	}
	packet := append(newTestPacket(callerOf(number), testRoute, value, kind), payload...)
	return &forwarding.Inbound{Buffer: append(make([]byte, forwarding.Headroom), packet...)}
}

func callerOf(number int) netip.AddrPort { return nodetest.Address(101, 1000+number) }

// receive passes a packet to the data path.
func (p *overloadedPlane) receive(number int, kind byte, payload string) {
	p.Handle(p.releaseWorker, newInbound(number, kind, payload))
}

// takeSent returns the last digit of the source port, the kind and the payload of each packet sent
// since the last call.
func (p *overloadedPlane) takeSent() []string {
	p.releaseWorker.Flush()
	sent := []string{}
	for _, datagram := range p.socket.sent {
		var packet token.Packet
		sequenceCodec{}.Parse(datagram[testHeadroom:], &packet)
		kind := map[bool]string{true: "reset"}[packet.IsReset] + map[bool]string{true: "end"}[packet.IsClosing] + map[bool]string{true: "open"}[packet.IsOpening]
		sent = append(sent, packet.Source.String()[len(packet.Source.String())-1:]+kind+string(datagram[testHeadroom+testHeaderBytes:]))
	}
	p.socket.sent = nil
	return sent
}

// expireWaits ticks the queue at a time after the longest wait.
func (p *overloadedPlane) expireWaits() { p.tickQueue(time.Now().Add(time.Second), 88) }

// Guards against reordered segments: the target would treat those in between as lost, and the
// retransmissions of the caller would count as evidence against the target.
func TestQueuedSegmentsKeepTheirOrder(t *testing.T) {
	t.Run("after the maximum wait", func(t *testing.T) {
		plane := newOverloadedPlane(t, 8)
		plane.handle(plane.releaseWorker, newInbound(1, kindData, "1"), arrival{at: time.Now()})
		plane.handle(plane.releaseWorker, newInbound(1, kindData, "2"), arrival{at: time.Now().Add(time.Hour)})
		plane.handle(plane.releaseWorker, newInbound(1, kindData, "2"), arrival{at: time.Now()})
		assert.DeepEqual(t, plane.takeSent(), []string{})
		plane.expireWaits()
		assert.DeepEqual(t, plane.takeSent(), []string{"11", "12"})
		assert.Equal(t, plane.counters.dropped[token.ReasonRetransmission].Load(), uint64(1))
		assert.Equal(t, len(plane.retransmissions()), 0)
	})
	t.Run("when there is capacity for a later segment", func(t *testing.T) {
		plane := newOverloadedPlane(t, 8)
		plane.receive(1, kindData, "1")
		plane.receive(1, kindData, "2")
		plane.freeCapacity()
		plane.handle(plane.releaseWorker, newInbound(1, kindData, "3"), arrival{at: time.Now()})
		plane.expireWaits()
		assert.DeepEqual(t, plane.takeSent(), []string{"11", "12", "13"})
	})
}

func TestFullQueueForwardsDataOfOpenFlows(t *testing.T) {
	plane := newOverloadedPlane(t, 1)
	plane.receive(1, kindData, "1")
	plane.receive(2, kindData, "1")
	assert.DeepEqual(t, plane.takeSent(), []string{"21"})
	plane.receive(1, kindData, "2")
	assert.DeepEqual(t, plane.takeSent(), []string{"11", "12"})
	assert.Equal(t, plane.counters.dropped[token.ReasonOverload].Load(), uint64(0))
}

func TestResetDropsQueuedPacketsOfFlow(t *testing.T) {
	plane := newOverloadedPlane(t, 8)
	plane.receive(1, kindData, "1")
	plane.receive(1, kindReset, "")
	assert.DeepEqual(t, plane.takeSent(), []string{"1reset"})
	plane.expireWaits()
	assert.DeepEqual(t, plane.takeSent(), []string{})
	assert.Equal(t, plane.requests.Len(), 0)
}

func TestClosingPacketFollowsQueuedPackets(t *testing.T) {
	plane := newOverloadedPlane(t, 8)
	plane.receive(1, kindData, "1")
	plane.receive(1, kindClosing, "")
	assert.DeepEqual(t, plane.takeSent(), []string{})
	plane.expireWaits()
	assert.DeepEqual(t, plane.takeSent(), []string{"11", "1end"})
	plane.receive(2, kindClosing, "")
	assert.DeepEqual(t, plane.takeSent(), []string{"2end"})
}

func TestQueuedPacketPrecedesNewArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no time passes between the two packets
		plane := newOverloadedPlane(t, 8)
		plane.handle(plane.releaseWorker, newInbound(1, kindFirst, ""), arrival{at: time.Now().Add(time.Hour)})
		assert.DeepEqual(t, plane.takeSent(), []string{})
		plane.freeCapacity()
		plane.receive(2, kindFirst, "")
		assert.DeepEqual(t, plane.takeSent(), []string{"1open"})
		assert.Equal(t, plane.queued.Len(), 1)
		assert.Equal(t, plane.counters.queued.Load(), uint64(2))
	})
}

func TestRequeuedPacketIsCountedOnce(t *testing.T) {
	plane := newOverloadedPlane(t, 8)
	plane.handle(plane.releaseWorker, newInbound(1, kindFirst, ""), arrival{at: time.Now().Add(time.Hour)})
	taken, found := plane.queued.PopFlow(overload.Flow{Source: callerOf(1), Destination: testRoute, IsOpening: true})
	assert.Assert(t, found)
	plane.decideDequeued(plane.releaseWorker, &taken)
	assert.Equal(t, plane.queued.Len(), 1)
	assert.DeepEqual(t, plane.takeSent(), []string{})
	assert.Equal(t, plane.counters.queued.Load(), uint64(1))
}

// Guards against counting the acknowledgement in a queued packet as current activity: the data it
// acknowledges may have arrived long before, and the target may have died since.
func TestQueuedAcknowledgementCountsAsPastActivity(t *testing.T) {
	plane := newOverloadedPlane(t, 8)
	packet := &token.Packet{Source: callerOf(1), Destination: testRoute, Token: token.BoundTokenAt(testRoute, 77), PayloadLength: 1}
	first := plane.decide(plane.table.Load(), packet, arrival{at: time.Now().Add(-time.Hour)})
	assert.Equal(t, first.Action, token.Forward)
	sentBefore := time.Now()
	next := *packet
	next.Sequence, next.Acknowledgement = 1, 1000
	held := plane.decide(plane.table.Load(), &next, arrival{at: time.Now()})
	assert.Equal(t, held.Action, token.Hold)
	activity := held.Target.Signal.LastActivity()
	assert.Assert(t, !activity.IsZero() && !activity.After(sentBefore), "%v after the request was sent", activity.Sub(sentBefore))
	assert.Equal(t, next.PayloadLength, 1)
}
