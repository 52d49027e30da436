package node

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/steering/token"
)

// TestCallersOfADeadTargetAreReset: the one that waits at the verdict, and the one that
// rested with its next packet. After a sign of life flows go on.
func TestCallersOfADeadTargetAreReset(t *testing.T) {
	site := newFollowedSite(t)
	site.store.Put(followedConfiguration(1))
	site.putTarget()
	lines := &logLines{}
	node := site.start(t, 0, site.store, lines.logger())
	waitFor(t, "readiness", func() bool { return node.Ready() == "" })
	value := token.WordAt(followedRoute, 77)
	request := append(wordPacket(site.callerAddress(), followedRoute, value, wordOthers), "a request"...)
	_, err := site.caller.WriteToUDPAddrPort(request, siteAddress(0, followedDataPort))
	assert.NilError(t, err)
	receive(t, site.target)

	done := make(chan struct{})
	node.enqueue(func(now time.Time) {
		verdict := liveness.Verdict{Subject: liveness.Subject{Target: 77}, Until: now.Add(time.Hour)}
		node.carryLives(now, node.plane.table.Load(), liveness.Output{Dead: []liveness.Verdict{verdict}})
		close(done)
	})
	<-done
	assert.Equal(t, receive(t, site.caller)[16], byte(wordReset), "the caller that waits")
	assert.Assert(t, lines.contains(messageDead))
	site.send(t, 0, value, wordOthers)
	assert.Equal(t, receive(t, site.caller)[16], byte(wordReset), "the caller that rested")

	node.enqueue(func(now time.Time) {
		node.carryLives(now, node.plane.table.Load(), liveness.Output{Alive: []uint64{77}})
	})
	waitFor(t, "the verdict to be taken back", func() bool { return lines.contains(messageAlive) })
	site.send(t, 0, value, wordOthers)
	assert.Equal(t, binary.BigEndian.Uint64(receive(t, site.target)), uint64(77))
}

// TestAProbeTellsWhoListens, as no stand-in of a target does over TCP here.
func TestAProbeTellsWhoListens(t *testing.T) {
	site := newFollowedSite(t)
	site.store.Put(followedConfiguration(1))
	site.putTarget()
	node := site.start(t, 0, site.store, logr.Discard())
	waitFor(t, "readiness", func() bool { return node.Ready() == "" })
	assert.Assert(t, node.reaches(site.nodes[0].settings.Telemetry, probeTimeout), "the daemon's own listener")
	assert.Assert(t, !node.reaches(siteAddress(110, 9), probeTimeout), "a port where nobody listens")
}
