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
func TestAPeerTellsALaterVersionWhateverItsRevision(t *testing.T) {
	knowing, started := newTestFleet(DefaultFleetConfig()), newTestFleet(DefaultFleetConfig())
	knowing.follower.Learn(testStart, &Delta{Until: 30, Entries: []storeview.Entry{configurationEntry(26, 23)}})
	started.follower.Learn(testStart, &Delta{Until: 30, Entries: []storeview.Entry{configurationEntry(28, 12)}})
	peer := netip.MustParseAddrPort("10.0.0.9:7000")
	started.hear(testStart, testStart, peer, knowing.Digest(testStart))
	assert.Assert(t, started.isBehind())
	pull := started.newPull(testStart, peer)
	pull.Asker = membership.Member{}
	delta := knowing.Serve(testStart.Add(time.Millisecond), pull)
	started.follower.Learn(testStart, &delta)
	assert.Equal(t, started.View().Configuration().Version, uint64(23))
	assert.Assert(t, !started.isBehind())
	again := knowing.Serve(testStart.Add(time.Millisecond), started.newPull(testStart, peer))
	assert.Equal(t, len(again.Entries), 0, "the same version is not sent twice")
}
