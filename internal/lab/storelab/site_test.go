package storelab

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/lab/environment"
)

// Without start times in the entries, daemons can't tell whether a crashed target that a restore resurrected or a
// newer target at its address is running, and reset open flows of the latter ("refuse", "dead_target").
func TestTargetEntriesContainIncarnation(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	s := &site{config: DefaultConfig(), store: environment.NewStore()}
	for _, isDraining := range []bool{false, true} {
		s.putTarget(&target{identifier: 7, service: serviceForms, address: netip.MustParseAddrPort("127.0.3.1:5000"), startedAt: at}, isDraining)
		answer := s.store.Do(t.Context(), &followed.Call{Kind: followed.CallList})
		assert.Equal(t, len(answer.Entries), 1)
		assert.Equal(t, answer.Entries[0].Target.Incarnation, uint64(at.UnixMilli()))
	}
}
