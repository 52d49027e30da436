package storenode

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

func TestReadinessWithPart(t *testing.T) {
	start := time.Unix(1000, 0)
	usable := func() *completeness {
		c := &completeness{}
		c.setUsable(start)
		return c
	}
	t.Run("not without usable content", func(t *testing.T) {
		c := &completeness{}
		assert.Assert(t, !c.isReady(start, start) && !c.isPartial())
	})
	t.Run("at once with the whole content", func(t *testing.T) {
		c := usable()
		c.setComplete()
		assert.Assert(t, c.isReady(start, time.Time{}) && !c.isPartial())
	})
	t.Run("at once if packets arrive, as too few daemons are ready", func(t *testing.T) {
		assert.Assert(t, usable().isReady(start.Add(time.Millisecond), start))
	})
	t.Run("after a delay if none arrive", func(t *testing.T) {
		c := usable()
		assert.Assert(t, !c.isReady(start.Add(partialReadyDelay-time.Millisecond), time.Time{}))
		assert.Assert(t, c.isReady(start.Add(partialReadyDelay), time.Time{}))
		assert.Assert(t, c.isPartial())
	})
	t.Run("stays ready when packets cease", func(t *testing.T) {
		c := usable()
		assert.Assert(t, c.isReady(start, start))
		assert.Assert(t, c.isReady(start.Add(2*recentPacketAge), start))
	})
}

const partTargets = 20

// pagedStore is a store with a large content that answers only the configuration and one page of
// targets.
type pagedStore struct{ first storeview.Target }

func (s *pagedStore) Do(ctx context.Context, call *followed.Call) followed.Answer {
	answer := followed.Answer{Number: call.Number, Outcome: followed.OutcomeAnswered, Revision: 50}
	switch {
	case call.MaxBytes > 0:
		return followed.Answer{Number: call.Number, Outcome: followed.OutcomeTooLarge, Bytes: 1 << 20}
	case call.Kind == followed.CallList && call.WithoutTargets:
		configuration := newTestConfiguration(1)
		configuration.Revision = 2
		answer.Entries = []storeview.Entry{configuration}
		return answer
	case call.Kind == followed.CallList && call.TargetsOnly && call.AfterKey == (pagedKeys{}).KeyAt(0):
		answer.Entries, answer.More = s.page(), true
		return answer
	}
	<-ctx.Done()
	return followed.Answer{Number: call.Number, Outcome: followed.OutcomeFailed}
}

func (s *pagedStore) page() []storeview.Entry {
	entries := []storeview.Entry{{Key: "target-01", Revision: 7, Target: &s.first}}
	for number := 2; number <= partTargets; number++ {
		target := s.first
		target.Identifier, target.Address = uint64(1000+number), netip.AddrPortFrom(s.first.Address.Addr(), uint16(20_000+number))
		entries = append(entries, storeview.Entry{Key: fmt.Sprintf("target-%02d", number), Revision: 7, Target: &target})
	}
	return entries
}

// pagedKeys always begins a list at the same key.
type pagedKeys struct{}

func (pagedKeys) SplitKeys(string, int) []string { return nil }

func (pagedKeys) KeyAt(float64) string { return "target-00" }

// A daemon that finds no peer must serve new flows from a part of a large content. What the part
// lacks is held rather than refused, and the part is not given to peers.
func TestNewFlowsAreServedFromPart(t *testing.T) {
	site := newTestSite(t)
	store := &pagedStore{first: storeview.Target{Identifier: 77, Service: "s", Address: site.targetAddress(), Zone: "zone", Slots: 2}}
	cfg := newTestSettings(1)
	cfg.Limits.Link = 10
	node, err := Start(cfg, logr.Discard(), Dependencies{
		Store: store, Codec: testCodec{}, Keys: pagedKeys{}, Reload: func() (settings.StoreNode, error) { return cfg, nil },
	})
	assert.NilError(t, err)
	t.Cleanup(node.Kill)
	nodetest.WaitFor(t, "a usable part", func() bool { return node.plane.completeness.isPartial() })
	counters := node.plane.counters

	site.send(t, 1, 0, kindFirst)
	nodetest.WaitFor(t, "a forwarded first packet", func() bool { return counters.forwarded[token.ReasonFirstPacket].Load() == 1 })
	assert.Equal(t, node.Ready(), "", "packets arrive although it was not ready")

	held := counters.held.Load()
	site.send(t, 1, token.BoundTokenAt(testRoute, 99), kindData)
	nodetest.WaitFor(t, "a held packet", func() bool { return counters.held.Load() == held+1 })

	site.send(t, 1, token.BoundTokenAt(testRoute, 77), kindData)
	nodetest.WaitFor(t, "a forwarded packet", func() bool { return counters.forwarded[token.ReasonNone].Load() == 1 })

	for reason := range token.ReasonCount {
		assert.Equal(t, counters.refused[reason].Load(), uint64(0), reason.String())
	}
	assert.NilError(t, node.link.configured.Err(), "pulls of peers wait for the whole content")
	status, _ := node.Status()
	assert.Assert(t, status.Source.IsPartial)
	assert.Equal(t, status.Source.ConfirmedMilliseconds, int64(-1))
	assert.Equal(t, binary.BigEndian.Uint64(receive(t, site.target)), uint64(77))
}
