package followed

import (
	"github.com/passtray/passtray/internal/membership"
)

// strengths is what the strongest members have, which others are measured by.
type strengths struct {
	link, processor, memory uint32
	// best is the largest share that one member has of all three.
	best float64
}

// strengthsOf measures live members.
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

// shareOf is how much a member has of the strongest members' link, processor and memory,
// whichever it has least of: a role needs all of them.
func (s *strengths) shareOf(member *membership.Member) float64 {
	share := func(has, most uint32) float64 {
		if has == 0 {
			return 1 // not told, as by earlier versions: it counts as much and makes nobody weak
		}
		return float64(has) / float64(max(1, most))
	}
	return min(share(member.Link, s.link), share(member.Processor, s.processor), share(member.Memory, s.memory))
}

// isStrong reports whether a member bears roles: it has at least half of what the strongest
// has. Where all are alike all are strong.
func (s *strengths) isStrong(member *membership.Member) bool { return s.shareOf(member) >= s.best/2 }
