package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// lease bounds the staleness of a daemon's configuration (Gray and Cheriton, "Leases", 1989). While
// it has a quorum, the leader issues a higher renewal number every RenewalInterval, which digests
// carry to all daemons. A renewal extends a daemon's lease only once the daemon has applied
// everything that was committed when the renewal was issued.
type lease struct {
	// epoch is the group that issued the renewals; each group has its own numbering.
	epoch        consensus.Epoch
	renewal      uint64
	renewalIndex uint64
	leader       identity.Identity
	renewedAt    time.Time
	// pending is the highest renewal whose index is not applied here yet.
	pending     digest
	nextRenewal time.Time
	isExpired   bool
}

const renewalCounterBits = 24

func (l *lease) renew(now time.Time, remote *digest, version dissemination.Version) bool {
	if l.epoch != version.Epoch {
		*l = lease{epoch: version.Epoch, isExpired: l.isExpired}
	}
	if remote.Renewal <= l.renewal {
		return false
	}
	l.leader = remote.Leader
	if remote.RenewalIndex > version.Index {
		if remote.Renewal > l.pending.Renewal {
			l.pending = *remote
		}
		return false
	}
	l.renewal = remote.Renewal
	l.renewalIndex = remote.RenewalIndex
	l.renewedAt = now
	return true
}

// applyPending applies the pending renewal if its index has been reached.
func (l *lease) applyPending(now time.Time, version dissemination.Version) {
	if l.pending.Renewal > l.renewal && l.pending.Version.Epoch == version.Epoch {
		pending := l.pending
		l.renew(now, &pending, version)
	}
}

func (c *Core) tickLease(now time.Time) {
	if c.IsLeader() && !now.Before(c.lease.nextRenewal) {
		c.issueRenewal(now)
	}
	if expired := c.isFormed() && !c.HoldsLease(now); expired != c.lease.isExpired {
		c.lease.isExpired = expired
		kind := EventLeaseRenewed
		if expired {
			kind = EventLeaseExpired
		}
		c.addEvent(kind, "")
	}
}

// issueRenewal issues a renewal of all daemons' leases. The term in its upper bits makes a new leader's
// renewals higher than those of the old one.
func (c *Core) issueRenewal(now time.Time) {
	if epoch := c.store.Version().Epoch; c.lease.epoch != epoch {
		c.lease = lease{epoch: epoch, isExpired: c.lease.isExpired}
	}
	c.lease.nextRenewal = now.Add(c.config.RenewalInterval)
	minRenewal := c.replica.Term() << renewalCounterBits
	c.lease.renewal = max(c.lease.renewal, minRenewal) + 1
	c.lease.renewalIndex = c.replica.Commit()
	c.lease.leader = c.self
	c.lease.renewedAt = now
	c.refreshDigest()
}

// HoldsLease reports whether the active configuration was confirmed within LeaseDuration before now.
// It needs no tick, so after a pause it returns false before stale state is used.
func (c *Core) HoldsLease(now time.Time) bool {
	return !c.lease.renewedAt.IsZero() && now.Sub(c.lease.renewedAt) < c.config.LeaseDuration
}

// LeaseEnds returns when the lease expires unless renewed, zero if there never was one.
func (c *Core) LeaseEnds() time.Time {
	if c.lease.renewedAt.IsZero() {
		return time.Time{}
	}
	return c.lease.renewedAt.Add(c.config.LeaseDuration)
}
