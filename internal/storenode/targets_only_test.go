package storenode

import (
	"context"
	"encoding/binary"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/nodetest"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

// targetsOnlyStore is a store whose snapshot is too long for a slow link: it answers only list calls
// restricted to targets.
type targetsOnlyStore struct{ target storeview.Target }

func (s *targetsOnlyStore) Do(ctx context.Context, call *followed.Call) followed.Answer {
	if call.Kind == followed.CallList && call.TargetsOnly {
		return followed.Answer{Number: call.Number, Outcome: followed.OutcomeAnswered, Revision: 9, Entries: []storeview.Entry{
			{Key: "target-1", Revision: 7, Target: &s.target},
		}}
	}
	if call.MaxBytes > 0 {
		return followed.Answer{Number: call.Number, Outcome: followed.OutcomeTooLarge, Bytes: 1 << 20}
	}
	<-ctx.Done()
	return followed.Answer{Number: call.Number, Outcome: followed.OutcomeFailed}
}

// With targets but no routes known, packets of open flows are forwarded, new flows are held, and
// nothing is refused.
func TestOpenFlowsAreForwardedBeforeConfigurationIsKnown(t *testing.T) {
	site := newTestSite(t)
	store := &targetsOnlyStore{target: storeview.Target{Identifier: 77, Service: "s", Address: site.targetAddress(), Zone: "zone", Slots: 2}}
	cfg := newTestSettings(1)
	cfg.Limits.Link = 10
	node, err := Start(cfg, logr.Discard(), Dependencies{
		Store: store, Codec: testCodec{}, Reload: func() (settings.StoreNode, error) { return cfg, nil },
	})
	assert.NilError(t, err)
	t.Cleanup(node.Kill)
	nodetest.WaitFor(t, "targets", func() bool { return node.plane.table.Load() != nil })
	assert.Assert(t, !node.plane.isConfigured())
	assert.Assert(t, node.Ready() != "", "not ready for new flows without routes")
	site.send(t, 1, 0, kindFirst)
	nodetest.WaitFor(t, "a held packet", func() bool { return node.plane.counters.held.Load() == 1 })
	site.send(t, 1, token.BoundTokenAt(testRoute, 77), kindData)
	assert.Equal(t, binary.BigEndian.Uint64(receive(t, site.target)), uint64(77))
	for reason := range token.ReasonCount {
		assert.Equal(t, node.plane.counters.refused[reason].Load(), uint64(0))
	}
}
