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

// segmentCodec extends wordCodec by packets that close a flow and by a sequence number, which is the
// first byte of the payload.
type segmentCodec struct{ wordCodec }

const wordClosing = 3

func (c segmentCodec) Parse(datagram []byte, into *token.Packet) bool {
	if !c.wordCodec.Parse(datagram, into) {
		return false
	}
	if len(datagram) > wordHead {
		into.Sequence = uint32(datagram[wordHead])
	}
	into.IsClosing = datagram[wordHead-1] == wordClosing
	return true
}

// sentSocket records the datagrams written to it.
type sentSocket struct {
	forwarding.Socket
	sent [][]byte
}

func (s *sentSocket) WriteBatch(messages []ipv4.Message, _ int) (int, error) {
	for index := range messages {
		s.sent = append(s.sent, append([]byte(nil), messages[index].Buffers[0]...))
	}
	return len(messages), nil
}

// crowdedPlane is a data path whose only service is overloaded: it has no capacity for ordinary work.
type crowdedPlane struct {
	*tokenPlane
	socket *sentSocket
	load   *overload.Controller
	taken  int
}

// newCrowdedPlane returns a plane that queues at most the given number of packets.
func newCrowdedPlane(t *testing.T, most int) *crowdedPlane {
	t.Helper()
	now := time.Now()
	given := followedSettings(0)
	given.Data.Held = most
	made := &crowdedPlane{socket: &sentSocket{}}
	made.tokenPlane = newTokenPlane(given, segmentCodec{}, made.socket, logr.Discard(), loop.New().StoodStill)
	view := storeview.New(time.Minute)
	view.Merge(now, []storeview.Entry{
		{Key: "config", Revision: 1, Configuration: &storeview.Configuration{
			Version:  1,
			Routes:   []storeview.Route{{Address: followedRoute, Priority: 2, Backends: []storeview.Backend{{Service: "s", Weight: 1}}}},
			Services: []storeview.Service{{Name: "s"}},
		}},
		{Key: "target", Revision: 2, Target: &storeview.Target{Identifier: 77, Service: "s", Zone: "zone", Slots: 2, Address: nodetest.Address(100, 1)}},
	})
	made.put(now, newBuilder(given).Build(now, view))
	made.tickCrowded(now, 88)
	made.table.Load().Loads(func(_ string, load *overload.Controller) { made.load = load })
	for range 50 {
		made.load.NoteAnswer(now, 1, 1000)
	}
	for range 50 { // rejections in the future, so that they cannot expire during the test
		made.load.NoteAnswer(now.Add(time.Hour), 1, 100)
	}
	for made.load.AdmitFlow(now.Add(time.Hour), overload.Ordinary) {
		made.load.Begin(overload.Preferred)
		made.taken++
	}
	return made
}

// makeRoom ends the work that uses up the capacity.
func (p *crowdedPlane) makeRoom() {
	for ; p.taken > 0; p.taken-- {
		p.load.End(overload.Preferred)
	}
}

func packetOf(number int, kind byte, payload string) *forwarding.Inbound {
	value := token.WordAt(followedRoute, 77)
	if kind == wordOpen {
		value = 0
	}
	packet := append(wordPacket(crowdedCaller(number), followedRoute, value, kind), payload...)
	return &forwarding.Inbound{Buffer: append(make([]byte, forwarding.Headroom), packet...)}
}

func crowdedCaller(number int) netip.AddrPort { return nodetest.Address(101, 1000+number) }

// comes passes a packet to the data path.
func (p *crowdedPlane) comes(number int, kind byte, payload string) {
	p.Handle(p.releaser, packetOf(number, kind, payload))
}

// sentOn returns the last digit of the source port, the kind and the payload of each packet sent since
// the last call.
func (p *crowdedPlane) sentOn() []string {
	p.releaser.Flush()
	sent := []string{}
	for _, datagram := range p.socket.sent {
		var packet token.Packet
		segmentCodec{}.Parse(datagram[wordFront:], &packet)
		kind := map[bool]string{true: "reset"}[packet.IsReset] + map[bool]string{true: "end"}[packet.IsClosing] + map[bool]string{true: "open"}[packet.IsOpening]
		sent = append(sent, packet.Source.String()[len(packet.Source.String())-1:]+kind+string(datagram[wordFront+wordHead:]))
	}
	p.socket.sent = nil
	return sent
}

// allHaveWaited advances the clock beyond the longest wait.
func (p *crowdedPlane) allHaveWaited() { p.tickCrowded(time.Now().Add(time.Second), 88) }

// Guards against reordered segments: the target would treat those in between as lost, and the
// retransmissions of the caller would count as evidence against the target.
func TestSegmentsOfAFlowGoOnInTheirOrder(t *testing.T) {
	t.Run("after the maximum wait", func(t *testing.T) {
		plane := newCrowdedPlane(t, 8)
		plane.handle(plane.releaser, packetOf(1, wordOthers, "1"), arrival{at: time.Now()})
		plane.handle(plane.releaser, packetOf(1, wordOthers, "2"), arrival{at: time.Now().Add(time.Hour)})
		plane.handle(plane.releaser, packetOf(1, wordOthers, "2"), arrival{at: time.Now()})
		assert.DeepEqual(t, plane.sentOn(), []string{})
		plane.allHaveWaited()
		assert.DeepEqual(t, plane.sentOn(), []string{"11", "12"})
		assert.Equal(t, plane.counters.dropped[token.ReasonCopy].Load(), uint64(1))
		assert.Equal(t, len(plane.unacknowledged()), 0)
	})
	t.Run("when there is capacity for a later segment", func(t *testing.T) {
		plane := newCrowdedPlane(t, 8)
		plane.comes(1, wordOthers, "1")
		plane.comes(1, wordOthers, "2")
		plane.makeRoom()
		plane.handle(plane.releaser, packetOf(1, wordOthers, "3"), arrival{at: time.Now()})
		plane.allHaveWaited()
		assert.DeepEqual(t, plane.sentOn(), []string{"11", "12", "13"})
	})
}

func TestDataOfOpenFlowsGoesOnWhereTheQueueIsFull(t *testing.T) {
	plane := newCrowdedPlane(t, 1)
	plane.comes(1, wordOthers, "1")
	plane.comes(2, wordOthers, "1")
	assert.DeepEqual(t, plane.sentOn(), []string{"21"})
	plane.comes(1, wordOthers, "2")
	assert.DeepEqual(t, plane.sentOn(), []string{"11", "12"})
	assert.Equal(t, plane.counters.dropped[token.ReasonOverload].Load(), uint64(0))
}

func TestWhatWaitsOfAResetFlowIsForgotten(t *testing.T) {
	plane := newCrowdedPlane(t, 8)
	plane.comes(1, wordOthers, "1")
	plane.comes(1, wordReset, "")
	assert.DeepEqual(t, plane.sentOn(), []string{"1reset"})
	plane.allHaveWaited()
	assert.DeepEqual(t, plane.sentOn(), []string{})
	assert.Equal(t, plane.requests.Len(), 0)
}

func TestTheEndOfAFlowGoesBehindWhatWaits(t *testing.T) {
	plane := newCrowdedPlane(t, 8)
	plane.comes(1, wordOthers, "1")
	plane.comes(1, wordClosing, "")
	assert.DeepEqual(t, plane.sentOn(), []string{})
	plane.allHaveWaited()
	assert.DeepEqual(t, plane.sentOn(), []string{"11", "1end"})
	plane.comes(2, wordClosing, "")
	assert.DeepEqual(t, plane.sentOn(), []string{"2end"})
}

func TestWhoWaitsGoesBeforeWhoComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no time passes between the two packets
		plane := newCrowdedPlane(t, 8)
		plane.handle(plane.releaser, packetOf(1, wordOpen, ""), arrival{at: time.Now().Add(time.Hour)})
		assert.DeepEqual(t, plane.sentOn(), []string{})
		plane.makeRoom()
		plane.comes(2, wordOpen, "")
		assert.DeepEqual(t, plane.sentOn(), []string{"1open"})
		assert.Equal(t, plane.crowded.Len(), 1)
		assert.Equal(t, plane.counters.crowded.Load(), uint64(2))
	})
}

func TestWhatMustWaitOnceMoreIsCountedOnce(t *testing.T) {
	plane := newCrowdedPlane(t, 8)
	plane.handle(plane.releaser, packetOf(1, wordOpen, ""), arrival{at: time.Now().Add(time.Hour)})
	taken, found := plane.crowded.TakeFlow(overload.Flow{Source: crowdedCaller(1), Destination: followedRoute, IsOpening: true})
	assert.Assert(t, found)
	plane.letGo(plane.releaser, &taken)
	assert.Equal(t, plane.crowded.Len(), 1)
	assert.DeepEqual(t, plane.sentOn(), []string{})
	assert.Equal(t, plane.counters.crowded.Load(), uint64(1))
}

// Guards against counting the acknowledgement in a queued packet as current activity: the data it
// acknowledges may have arrived long before, and the target may have died since.
func TestDataThatWaitsSaysThatItsTargetLivedWhenItWasLastAsked(t *testing.T) {
	plane := newCrowdedPlane(t, 8)
	packet := &token.Packet{Source: crowdedCaller(1), Destination: followedRoute, Token: token.WordAt(followedRoute, 77), PayloadLength: 1}
	first := plane.decide(plane.table.Load(), packet, arrival{at: time.Now().Add(-time.Hour)})
	assert.Equal(t, first.Action, token.Forward)
	sentBy := time.Now()
	next := *packet
	next.Sequence, next.Acknowledgement = 1, 1000
	held := plane.decide(plane.table.Load(), &next, arrival{at: time.Now()})
	assert.Equal(t, held.Action, token.Hold)
	life := held.Target.Signal.LastLife()
	assert.Assert(t, !life.IsZero() && !life.After(sentBy), "%v after the request was sent", life.Sub(sentBy))
	assert.Equal(t, next.PayloadLength, 1)
}
