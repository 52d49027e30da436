package storenode

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

// Callers of a dead target are reset: those waiting for a response at the verdict, idle ones at the
// latest with their next packet. After the target was found alive, flows continue.
func TestVerdictResetsCallersOfDeadTarget(t *testing.T) {
	lines := &logRecorder{}
	site, node := startReady(t, lines.logger())
	value := token.BoundTokenAt(testRoute, 77)
	request := append(newTestPacket(site.callerAddress(), testRoute, value, kindData), "a request"...)
	_, err := site.caller.WriteToUDPAddrPort(request, nodetest.Address(0, testDataPort))
	assert.NilError(t, err)
	receive(t, site.target)

	done := make(chan struct{})
	node.Enqueue(func(now time.Time) {
		verdict := liveness.Verdict{Subject: liveness.Subject{Target: 77}, Until: now.Add(time.Hour)}
		node.applyVerdicts(now, node.plane.table.Load(), liveness.Output{Dead: []liveness.Verdict{verdict}})
		close(done)
	})
	<-done
	assert.Equal(t, receive(t, site.caller)[16], byte(kindReset), "the waiting caller must be reset")
	assert.Assert(t, lines.contains(messageDead))
	site.send(t, 0, value, kindData)
	assert.Equal(t, receive(t, site.caller)[16], byte(kindReset), "the idle caller must be reset")

	node.Enqueue(func(now time.Time) {
		node.applyVerdicts(now, node.plane.table.Load(), liveness.Output{Alive: []uint64{77}})
	})
	nodetest.WaitFor(t, "the verdict to be revoked", func() bool { return lines.contains(messageAlive) })
	site.send(t, 0, value, kindData)
	assert.Equal(t, binary.BigEndian.Uint64(receive(t, site.target)), uint64(77))
}

func TestProbeDetectsListener(t *testing.T) {
	site, node := startReady(t, logr.Discard())
	assert.Assert(t, node.isReachable(site.nodes[0].settings.Telemetry, probeTimeout), "the listener of the daemon must be reachable")
	assert.Assert(t, !node.isReachable(nodetest.Address(110, 9), probeTimeout), "a port without a listener must not be reachable")
}

// An idle caller is reset before it sends again, once its target was declared dead or another
// target was seen at the target's address.
func TestIdleCallerIsReset(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, site *testSite, node *Node){
		"target declared dead": func(_ *testing.T, _ *testSite, node *Node) {
			node.Enqueue(func(now time.Time) {
				verdict := liveness.Verdict{Subject: liveness.Subject{Target: 77}, Until: now.Add(time.Hour)}
				node.applyVerdicts(now, node.plane.table.Load(), liveness.Output{Dead: []liveness.Verdict{verdict}})
			})
		},
		"target superseded by a later incarnation": func(_ *testing.T, site *testSite, _ *Node) {
			site.putIncarnation("target-1", 77, 1)
			site.putIncarnation("target-2", 78, 2)
		},
		"target superseded as another one responds": func(t *testing.T, site *testSite, node *Node) {
			site.putIncarnation("target-2", 78, 0)
			nodetest.WaitFor(t, "the other target to be known", func() bool {
				isKnown := make(chan bool, 1)
				node.Enqueue(func(now time.Time) {
					successor := node.plane.table.Load().TargetByToken(token.Of(78))
					if successor != nil {
						successor.Signal.RecordActivity(now)
					}
					isKnown <- successor != nil
				})
				return <-isKnown
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			lines := &logRecorder{}
			site, node := startReady(t, lines.logger())
			site.send(t, 0, token.BoundTokenAt(testRoute, 77), kindData)
			receive(t, site.target)
			end(t, site, node)
			assert.Equal(t, receive(t, site.caller)[16], byte(kindReset))
			nodetest.WaitFor(t, "the log line", func() bool { return lines.contains(messageIdleReset) })
			assert.Assert(t, lines.contains(token.ReasonDeadTargetIdle.String()), "the reset flow must be logged")
			status, _ := node.Status()
			assert.Equal(t, status.Flows.ResetIdle, uint64(1))
			assert.Equal(t, status.Flows.Tracked, 0)
		})
	}
}

// putIncarnation writes the entry of a target at the site's target address.
func (s *testSite) putIncarnation(key string, identifier, incarnation uint64) {
	s.store.Put(storeview.Entry{Key: key, Target: &storeview.Target{
		Identifier: identifier, Service: "s", Address: s.targetAddress(), Zone: "zone", Slots: 2, Incarnation: incarnation,
	}})
}

// Resets of idle flows beyond the limit of a tick are sent in the next tick.
func TestIdleResetsAreRateLimited(t *testing.T) {
	site, node := startReady(t, logr.Discard())
	sources := site.callerAddress().Addr()
	for number := range maxIdleResets + 10 {
		packet := newTestPacket(netip.AddrPortFrom(sources, uint16(1000+number)), testRoute, token.BoundTokenAt(testRoute, 77), kindData)
		_, err := site.caller.WriteToUDPAddrPort(packet, nodetest.Address(0, testDataPort))
		assert.NilError(t, err)
		receive(t, site.target)
	}
	steps := make(chan []int, 1)
	node.Enqueue(func(now time.Time) {
		table := node.plane.table.Load()
		table.SetDead(77, now.Add(time.Hour), now.Add(time.Hour))
		node.plane.mayHaveIdleResets = true
		var reset []int
		for range 3 {
			reset = append(reset, node.plane.resetIdle(now, table))
		}
		steps <- reset
	})
	assert.DeepEqual(t, <-steps, []int{maxIdleResets, 10, 0})
}
