package followed

import "time"

// claim is a lease held by the daemon that reads the store on behalf of the group (Gray,
// Cheriton, "Leases", 1989). Only answers of the store to the holder renew it; daemons that
// merely repeat what they received cannot extend it.
type claim struct {
	// rank identifies the holder and orders candidates; 0 means no holder. See readerRank.
	rank uint64
	// at is when the store last answered the holder.
	at time.Time
}

// strongRank is the bit that ranks daemons with enough capacity above all others.
const strongRank = 1 << 63

// isAlive reports whether the lease has not expired.
func (c *claim) isAlive(now time.Time, lifetime time.Duration) bool {
	return c.rank != 0 && now.Sub(c.at) < lifetime
}

// isOf reports whether the daemon of the given rank holds the lease, ignoring strongRank, which
// changes with the known members.
func (c *claim) isOf(rank uint64) bool { return c.rank&^strongRank == rank&^strongRank }

// isStrong reports whether the holder has enough capacity for the role.
func (c *claim) isStrong() bool { return c.rank&strongRank != 0 }

// offer adopts a received lease if it renews or outranks the local one, or if the local one has
// expired.
func (c *claim) offer(now time.Time, other claim, lifetime time.Duration) {
	switch {
	case !other.isAlive(now, lifetime):
	case c.isOf(other.rank):
		if other.at.After(c.at) {
			*c = other
		}
	case !c.isAlive(now, lifetime) || other.rank > c.rank:
		*c = other
	}
}
