package followed

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/storeview"
)

// A store restored without reporting an epoch gave a starting daemon an earlier version at a
// later revision than its peer's. The peer must send its later version even to a daemon at the
// same or a later revision, or that daemon pulls forever.
func TestPeerSendsLaterVersionWhateverItsRevision(t *testing.T) {
	informed, starting := newTestFleet(DefaultFleetConfig()), newTestFleet(DefaultFleetConfig())
	informed.follower.MergeDelta(testStart, &Delta{Until: 30, Entries: []storeview.Entry{configurationEntry(26, 23)}})
	starting.follower.MergeDelta(testStart, &Delta{Until: 30, Entries: []storeview.Entry{configurationEntry(28, 12)}})
	peer := netip.MustParseAddrPort("10.0.0.9:7000")
	starting.handleDigest(testStart, testStart, peer, informed.Digest(testStart))
	assert.Assert(t, starting.isBehind())
	pull := starting.newPull(testStart, peer)
	pull.Requester = membership.Member{}
	delta := informed.Serve(testStart.Add(time.Millisecond), pull)
	starting.follower.MergeDelta(testStart, &delta)
	assert.Equal(t, starting.View().Configuration().Version, uint64(23))
	assert.Assert(t, !starting.isBehind())
	again := informed.Serve(testStart.Add(time.Millisecond), starting.newPull(testStart, peer))
	assert.Equal(t, len(again.Entries), 0, "the same version is not sent twice")
}
