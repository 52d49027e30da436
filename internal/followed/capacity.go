package followed

import (
	"github.com/passtray/passtray/internal/membership"
)

// groupCapacity holds the largest capacities among the members, relative to which each member is
// rated.
type groupCapacity struct {
	link, processor, memory uint32
	// bestRating is the highest rating of any member; see rating.
	bestRating float64
}

func measureCapacity(live []membership.Member) groupCapacity {
	var capacity groupCapacity
	for index := range live {
		member := &live[index]
		capacity.link = max(capacity.link, member.Link)
		capacity.processor = max(capacity.processor, member.Processor)
		capacity.memory = max(capacity.memory, member.Memory)
	}
	for index := range live {
		capacity.bestRating = max(capacity.bestRating, capacity.rating(&live[index]))
	}
	return capacity
}

// rating returns a member's link, processor and memory relative to the largest in the group,
// whichever is lowest, since roles need all three.
func (c *groupCapacity) rating(member *membership.Member) float64 {
	share := func(has, highest uint32) float64 {
		if has == 0 {
			return 1 // not reported, as by earlier versions, and therefore not held against the member
		}
		return float64(has) / float64(max(1, highest))
	}
	return min(share(member.Link, c.link), share(member.Processor, c.processor), share(member.Memory, c.memory))
}

// isStrong reports whether a member qualifies for roles: it is rated at least half as high as
// the best. If all members are equal, all qualify.
func (c *groupCapacity) isStrong(member *membership.Member) bool {
	return c.rating(member) >= c.bestRating/2
}
