package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// lease tells a daemon whether its configuration may still be taken for the
// newest (Gray and Cheriton, "Leases", 1989). The leader, while it holds its
// quorum, makes a higher renewal every RenewalInterval; renewals travel on the digests.
// A renewal counts for a daemon only if it has in force all that was committed
// when the renewal was made.
type lease struct {
	// epoch is the group the renewals belong to; another group counts anew.
	epoch        consensus.Epoch
	renewal      uint64
	renewalIndex uint64
	leader       identity.Identity
	renewed      time.Time
	// waiting is a renewal whose index is not in force here yet.
	waiting     digest
	nextRenewal time.Time
	isOver      bool
}

const renewalCounterBits = 24

func (l *lease) renew(now time.Time, remote *digest, version dissemination.Version) bool {
	if l.epoch != version.Epoch {
		*l = lease{epoch: version.Epoch, isOver: l.isOver}
	}
	if remote.Renewal <= l.renewal {
		return false
	}
	l.leader = remote.Leader
	if remote.RenewalIndex > version.Index {
		if remote.Renewal > l.waiting.Renewal {
			l.waiting = *remote
		}
		return false
	}
	l.renewal = remote.Renewal
	l.renewalIndex = remote.RenewalIndex
	l.renewed = now
	return true
}

// caughtUp counts a renewal that waited for its index.
func (l *lease) caughtUp(now time.Time, version dissemination.Version) {
	if l.waiting.Renewal > l.renewal && l.waiting.Version.Epoch == version.Epoch {
		waiting := l.waiting
		l.renew(now, &waiting, version)
	}
}

func (c *Core) tickLease(now time.Time) {
	if c.IsLeader() && !now.Before(c.lease.nextRenewal) {
		c.issueRenewal(now)
	}
	if over := c.isFormed() && !c.HoldsLease(now); over != c.lease.isOver {
		c.lease.isOver = over
		kind := EventLeaseRenewed
		if over {
			kind = EventLeaseOver
		}
		c.event(kind, "")
	}
}

// issueRenewal renews the lease of all. The term in the upper bits lets a new
// leader's renewals override an old one's.
func (c *Core) issueRenewal(now time.Time) {
	if epoch := c.store.Version().Epoch; c.lease.epoch != epoch {
		c.lease = lease{epoch: epoch, isOver: c.lease.isOver}
	}
	c.lease.nextRenewal = now.Add(c.config.RenewalInterval)
	floor := c.replica.Term() << renewalCounterBits
	c.lease.renewal = max(c.lease.renewal, floor) + 1
	c.lease.renewalIndex = c.replica.Commit()
	c.lease.leader = c.self
	c.lease.renewed = now
	c.refreshDigest()
}

// HoldsLease reports whether the configuration in force here was confirmed
// within the lease. It is a question about now: after a pause it says no before
// anything is done on the old state.
func (c *Core) HoldsLease(now time.Time) bool {
	return !c.lease.renewed.IsZero() && now.Sub(c.lease.renewed) < c.config.LeaseDuration
}

// LeaseEnds returns when the lease runs out unless renewed, zero if there never
// was one.
func (c *Core) LeaseEnds() time.Time {
	if c.lease.renewed.IsZero() {
		return time.Time{}
	}
	return c.lease.renewed.Add(c.config.LeaseDuration)
}
