package storenode

import (
	"encoding/binary"
	"net"
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
func TestCallersOfADeadTargetAreReset(t *testing.T) {
	lines := &logLines{}
	site, node := startReady(t, lines.logger())
	value := token.WordAt(followedRoute, 77)
	request := append(wordPacket(site.callerAddress(), followedRoute, value, wordOthers), "a request"...)
	_, err := site.caller.WriteToUDPAddrPort(request, nodetest.Address(0, followedDataPort))
	assert.NilError(t, err)
	receive(t, site.target)

	done := make(chan struct{})
	node.Enqueue(func(now time.Time) {
		verdict := liveness.Verdict{Subject: liveness.Subject{Target: 77}, Until: now.Add(time.Hour)}
		node.carryLives(now, node.plane.table.Load(), liveness.Output{Dead: []liveness.Verdict{verdict}})
		close(done)
	})
	<-done
	assert.Equal(t, receive(t, site.caller)[16], byte(wordReset), "waiting caller")
	assert.Assert(t, lines.contains(messageDead))
	site.send(t, 0, value, wordOthers)
	assert.Equal(t, receive(t, site.caller)[16], byte(wordReset), "idle caller")

	node.Enqueue(func(now time.Time) {
		node.carryLives(now, node.plane.table.Load(), liveness.Output{Alive: []uint64{77}})
	})
	nodetest.WaitFor(t, "the verdict to be revoked", func() bool { return lines.contains(messageAlive) })
	site.send(t, 0, value, wordOthers)
	assert.Equal(t, binary.BigEndian.Uint64(receive(t, site.target)), uint64(77))
}

func TestAProbeTellsWhoListens(t *testing.T) {
	site, node := startReady(t, logr.Discard())
	assert.Assert(t, node.reaches(site.nodes[0].settings.Telemetry, probeTimeout), "listener of the daemon")
	assert.Assert(t, !node.reaches(nodetest.Address(110, 9), probeTimeout), "port without a listener")
}

// An idle caller is reset before it sends again, after a verdict and after another target was seen at
// the address.
func TestACallerThatRestsIsReset(t *testing.T) {
	for name, end := range map[string]func(site *followedSite, node *Node){
		"target declared dead": func(_ *followedSite, node *Node) {
			node.Enqueue(func(now time.Time) {
				verdict := liveness.Verdict{Subject: liveness.Subject{Target: 77}, Until: now.Add(time.Hour)}
				node.carryLives(now, node.plane.table.Load(), liveness.Output{Dead: []liveness.Verdict{verdict}})
			})
		},
		"target superseded": func(site *followedSite, _ *Node) {
			address := site.target.LocalAddr().(*net.UDPAddr).AddrPort()
			site.store.Put(storeview.Entry{Key: "target-2", Target: &storeview.Target{Identifier: 78, Service: "s", Address: address, Zone: "zone", Slots: 2}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			lines := &logLines{}
			site, node := startReady(t, lines.logger())
			site.send(t, 0, token.WordAt(followedRoute, 77), wordOthers)
			receive(t, site.target)
			end(site, node)
			assert.Equal(t, receive(t, site.caller)[16], byte(wordReset))
			nodetest.WaitFor(t, "the log line", func() bool { return lines.contains(messageRestingReset) })
			assert.Assert(t, lines.contains(token.ReasonAtRest.String()), "log line of the flow")
			status, _ := node.Status()
			assert.Equal(t, status.Flows.ResetAtRest, uint64(1))
			assert.Equal(t, status.Flows.Held, 0)
		})
	}
}

// Resets of idle flows beyond the limit of a tick are sent in the next tick.
func TestResetsAtRestArePaced(t *testing.T) {
	site, node := startReady(t, logr.Discard())
	sources := site.callerAddress().Addr()
	for number := range mostRestingResets + 10 {
		packet := wordPacket(netip.AddrPortFrom(sources, uint16(1000+number)), followedRoute, token.WordAt(followedRoute, 77), wordOthers)
		_, err := site.caller.WriteToUDPAddrPort(packet, nodetest.Address(0, followedDataPort))
		assert.NilError(t, err)
		receive(t, site.target)
	}
	steps := make(chan []int, 1)
	node.Enqueue(func(now time.Time) {
		table := node.plane.table.Load()
		table.SetDead(77, now.Add(time.Hour), now.Add(time.Hour))
		node.plane.mayRest = true
		var reset []int
		for range 3 {
			reset = append(reset, node.plane.resetResting(now, table))
		}
		steps <- reset
	})
	assert.DeepEqual(t, <-steps, []int{mostRestingResets, 10, 0})
}
