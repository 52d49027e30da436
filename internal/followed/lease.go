package followed

import "time"

// lease is held by the daemon that reads the store on behalf of the group (Gray,
// Cheriton, "Leases", 1989). Only answers of the store to the holder renew it; daemons that
// merely repeat what they received cannot extend it.
type lease struct {
	// rank identifies the holder and orders candidates; 0 means no holder. See rankOf.
	rank uint64
	// renewedAt is when the store last answered the holder.
	renewedAt time.Time
}

// strongRankBit is the bit that ranks daemons with enough capacity above all others.
const strongRankBit = 1 << 63

// isValid reports whether the lease has not expired.
func (l *lease) isValid(now time.Time, lifetime time.Duration) bool {
	return l.rank != 0 && now.Sub(l.renewedAt) < lifetime
}

// isHeldBy reports whether the daemon of the given rank holds the lease, ignoring
// strongRankBit, which changes with the known members.
func (l *lease) isHeldBy(rank uint64) bool { return l.rank&^strongRankBit == rank&^strongRankBit }

// isStrong reports whether the holder has enough capacity for the role.
func (l *lease) isStrong() bool { return l.rank&strongRankBit != 0 }

// merge adopts a received lease if it renews or outranks the local one, or if the local one has
// expired.
func (l *lease) merge(now time.Time, other lease, lifetime time.Duration) {
	switch {
	case !other.isValid(now, lifetime):
	case l.isHeldBy(other.rank):
		if other.renewedAt.After(l.renewedAt) {
			*l = other
		}
	case !l.isValid(now, lifetime) || other.rank > l.rank:
		*l = other
	}
}
