package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// lease tells a daemon whether its configuration may still be taken for the
// newest (Gray and Cheriton, "Leases", 1989). The leader, while it holds its
// quorum, makes a higher beat every BeatInterval; beats travel on the digests.
// A beat counts for a daemon only if it has in force all that was committed
// when the beat was made.
type lease struct {
	// epoch is the group the beats belong to; another group counts anew.
	epoch     consensus.Epoch
	beat      uint64
	beatIndex uint64
	leader    identity.Identity
	renewed   time.Time
	// waiting is a beat whose index is not in force here yet.
	waiting  digest
	nextBeat time.Time
	isOver   bool
}

const beatCounterBits = 24

func (l *lease) renew(now time.Time, remote *digest, version dissemination.Version) bool {
	if l.epoch != version.Epoch {
		*l = lease{epoch: version.Epoch, isOver: l.isOver}
	}
	if remote.Beat <= l.beat {
		return false
	}
	l.leader = remote.Leader
	if remote.BeatIndex > version.Index {
		if remote.Beat > l.waiting.Beat {
			l.waiting = *remote
		}
		return false
	}
	l.beat = remote.Beat
	l.beatIndex = remote.BeatIndex
	l.renewed = now
	return true
}

// caughtUp counts a beat that waited for its index.
func (l *lease) caughtUp(now time.Time, version dissemination.Version) {
	if l.waiting.Beat > l.beat && l.waiting.Version.Epoch == version.Epoch {
		waiting := l.waiting
		l.renew(now, &waiting, version)
	}
}

func (c *Core) tickLease(now time.Time) {
	if c.IsLeader() && !now.Before(c.lease.nextBeat) {
		c.makeBeat(now)
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

// makeBeat renews the lease of all. The term in the upper bits lets a new
// leader's beats override an old one's.
func (c *Core) makeBeat(now time.Time) {
	if epoch := c.store.Version().Epoch; c.lease.epoch != epoch {
		c.lease = lease{epoch: epoch, isOver: c.lease.isOver}
	}
	c.lease.nextBeat = now.Add(c.config.BeatInterval)
	floor := c.replica.Term() << beatCounterBits
	c.lease.beat = max(c.lease.beat, floor) + 1
	c.lease.beatIndex = c.replica.Commit()
	c.lease.leader = c.self
	c.lease.renewed = now
	c.refreshDigest()
}

// HoldsLease reports whether the configuration in force here was confirmed
// within the lease. It is a question about now: after a pause it says no before
// anything is done on the old belief.
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
