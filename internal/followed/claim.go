package followed

import "time"

// claim is a daemon's statement that it reads the store for all. It is renewed by
// nothing but that daemon's own confirmations, so that daemons that only repeat to
// each other what they once heard do not count as supply: a claim that nobody renews
// runs out (a lease: Gray, Cheriton, "Leases", 1989).
type claim struct {
	// rank orders readers and names them: see rankOf. 0 is nobody.
	rank uint64
	// at is when the store last answered that reader.
	at time.Time
}

// strongRank is set in the rank of a strong daemon, to which another one gives way.
const strongRank = 1 << 63

// isAlive reports whether the reader was answered lately enough.
func (c *claim) isAlive(now time.Time, lifetime time.Duration) bool {
	return c.rank != 0 && now.Sub(c.at) < lifetime
}

// isOf reports whether a claim is that of the daemon with a rank, however its strength
// was judged.
func (c *claim) isOf(rank uint64) bool { return c.rank&^strongRank == rank&^strongRank }

// isStrong reports whether the reader is strong.
func (c *claim) isStrong() bool { return c.rank&strongRank != 0 }

// offer takes a claim that was heard if it renews or outranks the one that is held,
// or if that one has run out.
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
