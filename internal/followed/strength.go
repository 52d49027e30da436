package followed

import (
	"github.com/passtray/passtray/internal/membership"
)

// strengths holds the largest capacities among the members, relative to which each member is
// rated.
type strengths struct {
	link, processor, memory uint32
	// best is the highest rating of any member; see shareOf.
	best float64
}

func strengthsOf(live []membership.Member) strengths {
	var most strengths
	for index := range live {
		member := &live[index]
		most.link = max(most.link, member.Link)
		most.processor = max(most.processor, member.Processor)
		most.memory = max(most.memory, member.Memory)
	}
	for index := range live {
		most.best = max(most.best, most.shareOf(&live[index]))
	}
	return most
}

// shareOf returns a member's link, processor and memory relative to the largest in the group,
// whichever is lowest, since roles need all three.
func (s *strengths) shareOf(member *membership.Member) float64 {
	share := func(has, most uint32) float64 {
		if has == 0 {
			return 1 // not reported, as by earlier versions, and therefore not held against the member
		}
		return float64(has) / float64(max(1, most))
	}
	return min(share(member.Link, s.link), share(member.Processor, s.processor), share(member.Memory, s.memory))
}

// isStrong reports whether a member qualifies for roles: it is rated at least half as high as
// the best. If all members are equal, all qualify.
func (s *strengths) isStrong(member *membership.Member) bool { return s.shareOf(member) >= s.best/2 }
