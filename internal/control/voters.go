package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

// tickVoters makes the leader maintain the configured number of live voters, balanced over zones. It
// adds or removes one voter at a time, each only after the previous change is committed. A replacement
// is added before a dead voter is removed, so that the number of live voters does not drop in between.
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
		return // The last change is not committed yet; retry with the next tick.
	}
	c.addEvent(EventVotersChanged, fmt.Sprint(next))
	c.handleConsensusOutput(now, output)
}

// nextVoters returns the voters after the next single change, nil if none is needed or possible.
func (c *Core) nextVoters(voters []identity.Identity) []identity.Identity {
	live := c.group.Live()
	wanted := wantedVoters(c.config.Voters, len(live))
	alive := c.liveVoters(voters)
	unbalanced := len(alive) == wanted && c.zonesAreUnbalanced(alive, live)
	if len(alive) < wanted || unbalanced {
		if len(voters) > wanted {
			// An extra voter was already added: remove one first.
			return without(voters, c.worstVoter(voters))
		}
		if candidate, found := c.bestVoterCandidate(voters, live); found {
			return append(slices.Clone(voters), candidate)
		}
		return nil
	}
	if len(voters) > wanted {
		return without(voters, c.worstVoter(voters))
	}
	return nil
}

// wantedVoters is the largest odd number of voters up to configured and live.
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

// zonesAreUnbalanced reports whether two zones differ by two or more live voters.
func (c *Core) zonesAreUnbalanced(alive []identity.Identity, live []membership.Member) bool {
	counts := countZones(alive, zonesOf(live))
	lowest, highest := len(alive), 0
	for _, count := range counts {
		lowest, highest = min(lowest, count), max(highest, count)
	}
	return highest-lowest >= 2
}

// bestVoterCandidate returns the longest-running alive non-voter in the zone with the fewest voters.
func (c *Core) bestVoterCandidate(voters []identity.Identity, live []membership.Member) (identity.Identity, bool) {
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

// worstVoter returns a dead or leaving voter, else the last-started one in the zone with the most
// voters. It returns the leader only if that is leaving.
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

// hasEnoughVoters reports whether a change committed now would survive as many failures as configured,
// or as the fleet's size permits.
func (c *Core) hasEnoughVoters() bool {
	return len(c.replica.Voters()) >= wantedVoters(c.config.Voters, len(c.group.Live()))
}

// IsVoter reports whether this daemon is a voter of its group.
func (c *Core) IsVoter() bool {
	return c.replica.Epoch() != (consensus.Epoch{}) && c.replica.IsVoter()
}
