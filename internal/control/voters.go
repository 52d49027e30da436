package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

// tickVoters is the leader's care for its voters: as many as configured, alive,
// spread over zones. It makes one step at a time and the next only after that
// is committed. A new voter is added before a dead one is removed, so that the
// group never rests on fewer live voters than it must.
func (c *Core) tickVoters(now time.Time) {
	if !c.IsLeader() {
		return
	}
	voters := c.replica.Voters()
	next := c.nextVoters(voters)
	if next == nil {
		return
	}
	output, err := c.replica.ProposeVoters(now, next)
	if err != nil {
		return // The last change is not committed yet; the next tick tries again.
	}
	c.event(EventVotersChanged, fmt.Sprint(next))
	c.takeConsensus(now, output)
}

// nextVoters returns the voters one step nearer to what they should be, nil if
// they are that already.
func (c *Core) nextVoters(voters []identity.Identity) []identity.Identity {
	live := c.group.Live()
	wanted := wantedVoters(c.config.Voters, len(live))
	alive := c.liveVoters(voters)
	unbalanced := len(alive) == wanted && c.zonesAreUnbalanced(alive, live)
	if len(alive) < wanted || unbalanced {
		if len(voters) > wanted {
			// One step ahead already: make room first.
			return without(voters, c.worstVoter(voters))
		}
		if candidate, found := c.bestCandidate(voters, live); found {
			return append(slices.Clone(voters), candidate)
		}
		return nil
	}
	if len(voters) > wanted {
		return without(voters, c.worstVoter(voters))
	}
	return nil
}

// wantedVoters is the largest odd number of voters there are daemons for.
func wantedVoters(configured, live int) int {
	wanted := min(configured, live)
	if wanted > 1 && wanted%2 == 0 {
		wanted--
	}
	return wanted
}

func (c *Core) liveVoters(voters []identity.Identity) []identity.Identity {
	var alive []identity.Identity
	for _, voter := range voters {
		if c.group.IsLive(voter) {
			alive = append(alive, voter)
		}
	}
	return alive
}

func without(voters []identity.Identity, removed identity.Identity) []identity.Identity {
	return slices.DeleteFunc(slices.Clone(voters), func(voter identity.Identity) bool { return voter == removed })
}

func zonesOf(live []membership.Member) map[identity.Identity]string {
	zones := map[identity.Identity]string{}
	for _, member := range live {
		zones[member.Identity] = member.Zone
	}
	return zones
}

func countZones(voters []identity.Identity, zones map[identity.Identity]string) map[string]int {
	counts := map[string]int{}
	for _, zone := range zones {
		counts[zone] = 0
	}
	for _, voter := range voters {
		if zone, live := zones[voter]; live {
			counts[zone]++
		}
	}
	return counts
}

// zonesAreUnbalanced reports whether moving one voter would spread them better.
func (c *Core) zonesAreUnbalanced(alive []identity.Identity, live []membership.Member) bool {
	counts := countZones(alive, zonesOf(live))
	least, most := len(alive), 0
	for _, count := range counts {
		least, most = min(least, count), max(most, count)
	}
	return most-least >= 2
}

// bestCandidate is the longest-running daemon of a zone with the fewest voters.
func (c *Core) bestCandidate(voters []identity.Identity, live []membership.Member) (identity.Identity, bool) {
	zones := zonesOf(live)
	counts := countZones(voters, zones)
	var best identity.Identity
	for _, member := range live {
		candidate := member.Identity
		if member.Status != membership.Alive || slices.Contains(voters, candidate) {
			continue
		}
		if best.IsZero() || counts[member.Zone] < counts[zones[best]] ||
			(counts[member.Zone] == counts[zones[best]] && candidate.Start < best.Start) {
			best = candidate
		}
	}
	return best, !best.IsZero()
}

// worstVoter is a dead one, else the newest in the zone with the most voters,
// and the leader only if it is leaving.
func (c *Core) worstVoter(voters []identity.Identity) identity.Identity {
	zones := zonesOf(c.group.Live())
	counts := countZones(voters, zones)
	var worst identity.Identity
	for _, voter := range voters {
		if !c.group.IsLive(voter) {
			return voter
		}
		if voter == c.self {
			continue
		}
		if worst.IsZero() || counts[zones[voter]] > counts[zones[worst]] ||
			(counts[zones[voter]] == counts[zones[worst]] && voter.Start > worst.Start) {
			worst = voter
		}
	}
	return worst
}

// hasEnoughVoters reports whether a change accepted now would survive as many
// losses as the operator asked for, or as the fleet's size allows.
func (c *Core) hasEnoughVoters() bool {
	return len(c.replica.Voters()) >= wantedVoters(c.config.Voters, len(c.group.Live()))
}

// IsVoter reports whether this daemon is among the voters.
func (c *Core) IsVoter() bool {
	return c.replica.Epoch() != (consensus.Epoch{}) && c.replica.IsVoter()
}
