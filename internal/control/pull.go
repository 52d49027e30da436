package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// puller repairs gossip losses of committed entries: a daemon that is still behind a peer's digest
// after PullDelay pulls the missing entries, or a snapshot, from that peer.
type puller struct {
	// aheadPeer sent the latest newer digest, aheadSince is when the first one arrived.
	aheadPeer  identity.Identity
	aheadSince time.Time
	pullUntil  time.Time
	// conflict is the conflicting epoch that was reported last.
	conflict consensus.Epoch
}

func (c *Core) refreshDigest() {
	c.group.SetDigest(encode(digest{
		Version: c.store.Version(),
		Renewal: c.lease.renewal, RenewalIndex: c.lease.renewalIndex, Leader: c.lease.leader,
	}))
}

func (c *Core) handleDigest(now time.Time, from identity.Identity, encoded []byte) {
	remote, ok := decode[digest](encoded)
	if !ok || remote.Version.Epoch.IsZero() {
		return
	}
	switch remote.Version.Compare(c.store.Version()) {
	case dissemination.Newer:
		if c.puller.aheadSince.IsZero() {
			c.puller.aheadSince = now
		}
		c.puller.aheadPeer = from
	case dissemination.Conflicting:
		if c.puller.conflict != remote.Version.Epoch {
			c.puller.conflict = remote.Version.Epoch
			c.addEvent(EventConflict, from.String())
		}
		return
	}
	if remote.Version.Epoch == c.store.Version().Epoch && c.lease.renew(now, &remote, c.store.Version()) {
		c.refreshDigest()
	}
}

func (c *Core) handleBroadcast(now time.Time, payload []byte) {
	broadcast, ok := decode[entryBroadcast](payload)
	if !ok {
		return
	}
	c.applyCommitted(now, broadcast.Epoch, []consensus.Entry{broadcast.Entry})
}

func (c *Core) handleUpdate(now time.Time, update *dissemination.Update) {
	changed, err := c.store.ApplyUpdate(update)
	c.reportInvalid(err)
	c.puller.pullUntil = time.Time{}
	if !changed {
		return
	}
	c.puller.aheadSince = time.Time{}
	c.output.ConfigurationChanged = true
	c.refreshDigest()
	c.lease.applyPending(now, c.store.Version())
}

func (c *Core) tickPull(now time.Time) {
	if c.puller.aheadSince.IsZero() || now.Before(c.puller.pullUntil) {
		return
	}
	// A daemon without a configuration does not wait for gossip.
	if c.isFormed() && now.Sub(c.puller.aheadSince) < c.config.PullDelay {
		return
	}
	peer := c.puller.aheadPeer
	// The next digest shows whether this daemon is still behind.
	c.puller.aheadSince = time.Time{}
	c.puller.pullUntil = now.Add(c.config.PullTimeout)
	c.send(peer.Address, PeerMessage{Pull: &Pull{Have: c.store.Version()}})
}
