package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// spread disseminates committed entries to all daemons: by gossip and, for a daemon that is still
// behind a peer's digest after PullDelay, by a pull from that peer.
type spread struct {
	// aheadPeer sent the latest newer digest, aheadSince is when the first one arrived.
	aheadPeer  identity.Identity
	aheadSince time.Time
	pullUntil  time.Time
	conflict   consensus.Epoch
}

func (c *Core) refreshDigest() {
	c.group.SetDigest(encode(digest{
		Version: c.store.Version(),
		Renewal: c.lease.renewal, RenewalIndex: c.lease.renewalIndex, Leader: c.lease.leader,
	}))
}

func (c *Core) takeDigest(now time.Time, from identity.Identity, encoded []byte) {
	remote, readable := decode[digest](encoded)
	if !readable || remote.Version.Epoch.IsZero() {
		return
	}
	switch remote.Version.Against(c.store.Version()) {
	case dissemination.Newer:
		if c.spread.aheadSince.IsZero() {
			c.spread.aheadSince = now
		}
		c.spread.aheadPeer = from
	case dissemination.Conflicting:
		if c.spread.conflict != remote.Version.Epoch {
			c.spread.conflict = remote.Version.Epoch
			c.event(EventConflict, from.String())
		}
		return
	}
	if remote.Version.Epoch == c.store.Version().Epoch && c.lease.renew(now, &remote, c.store.Version()) {
		c.refreshDigest()
	}
}

func (c *Core) takeBroadcast(now time.Time, payload []byte) {
	news, readable := decode[entryBroadcast](payload)
	if !readable {
		return
	}
	c.applyCommitted(now, news.Epoch, []consensus.Entry{news.Entry})
}

func (c *Core) takeUpdate(now time.Time, update *dissemination.Update) {
	changed, err := c.store.Take(update)
	c.noteUnreadable(err)
	c.spread.pullUntil = time.Time{}
	if !changed {
		return
	}
	c.spread.aheadSince = time.Time{}
	c.output.ConfigurationChanged = true
	c.refreshDigest()
	c.lease.caughtUp(now, c.store.Version())
}

func (c *Core) tickSpread(now time.Time) {
	if c.spread.aheadSince.IsZero() || now.Before(c.spread.pullUntil) {
		return
	}
	// A daemon without a configuration does not wait for gossip.
	if c.isFormed() && now.Sub(c.spread.aheadSince) < c.config.PullDelay {
		return
	}
	peer := c.spread.aheadPeer
	// The next digest shows whether this daemon is still behind.
	c.spread.aheadSince = time.Time{}
	c.spread.pullUntil = now.Add(c.config.PullTimeout)
	c.send(peer.Address, PeerMessage{Pull: &Pull{Have: c.store.Version()}})
}
