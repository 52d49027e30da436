package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// formation elects the single founder of a group in a fleet that has none. The live daemon with the
// lowest address requests grants from all others and needs those of a majority of the known machines.
// A daemon grants only one founder, and only after it has searched for a group for FormationDelay.
// Two founders would thus need a daemon that granted both. A restarted daemon has lost its grant, but
// its search takes longer than the first founder's group needs to become known.
type formation struct {
	// granted is the founder that this daemon has granted, if any; grants are those that it has
	// received as a founder.
	granted     identity.Identity
	grants      map[identity.Identity]bool
	nextRequest time.Time
}

const firstEpochNumber = 1

func (c *Core) isFormed() bool { return !c.store.Version().Epoch.IsZero() }

func (c *Core) hasFormationDelayPassed(now time.Time) bool {
	return now.Sub(c.started) >= c.config.FormationDelay
}

// isPreferredFounder reports whether the candidate has the lowest identity of all live daemons.
func (c *Core) isPreferredFounder(candidate identity.Identity) bool {
	return c.group.Live()[0].Identity == candidate
}

func (c *Core) tickFormation(now time.Time) {
	if c.isFormed() || !c.hasFormationDelayPassed(now) || now.Before(c.formation.nextRequest) {
		return
	}
	if len(c.group.Live()) == 0 || !c.isPreferredFounder(c.self) || !c.mayGrant(now, c.self) {
		return
	}
	c.formation.nextRequest = now.Add(c.config.FormationRetry)
	c.formation.granted = c.self
	c.formation.grants = map[identity.Identity]bool{c.self: true}
	for _, member := range c.group.Live() {
		if member.Identity != c.self {
			c.send(member.Identity.Address, PeerMessage{GrantRequest: &GrantRequest{}})
		}
	}
	c.foundIfGranted(now)
}

// mayGrant reports whether this daemon may grant a founder. A grant to a daemon that is no longer live
// does not count: had it founded a group, a live daemon would know of the group by now.
func (c *Core) mayGrant(now time.Time, founder identity.Identity) bool {
	if c.isFormed() || !c.hasFormationDelayPassed(now) || !c.isPreferredFounder(founder) {
		return false
	}
	granted := c.formation.granted
	return granted.IsZero() || granted == founder || !c.group.IsLive(granted)
}

func (c *Core) handleGrantRequest(now time.Time, founder identity.Identity) {
	granted := len(c.group.Live()) > 0 && c.mayGrant(now, founder)
	if granted {
		c.formation.granted = founder
	}
	c.send(founder.Address, PeerMessage{Grant: &Grant{Granted: granted}})
}

func (c *Core) handleGrant(now time.Time, from identity.Identity, grant *Grant) {
	if c.isFormed() || !grant.Granted || c.formation.granted != c.self {
		return
	}
	c.formation.grants[from] = true
	c.foundIfGranted(now)
}

func (c *Core) foundIfGranted(now time.Time) {
	if len(c.formation.grants) <= c.fleetSize()/2 {
		return
	}
	c.found(now, consensus.Epoch{Number: firstEpochNumber, Group: c.random.Uint64()}, EventGroupFounded)
}

// fleetSize is the number of known machines: live daemons and seeds without one.
func (c *Core) fleetSize() int {
	size := len(c.group.Live())
	for _, seed := range c.seeds {
		known := false
		for _, member := range c.group.Live() {
			known = known || member.Identity.Address == seed
		}
		if !known {
			size++
		}
	}
	return size
}

// found founds a group with this daemon as its only voter and its active configuration as the state.
// tickVoters then adds the other voters one at a time.
func (c *Core) found(now time.Time, epoch consensus.Epoch, kind EventKind) {
	version := dissemination.Version{Epoch: epoch, Index: c.store.Version().Index + 1}
	state := c.store.State().Encode()
	if _, err := c.store.Install(version, []identity.Identity{c.self}, state); err != nil {
		c.reportInvalid(err)
		return
	}
	c.addEvent(kind, c.self.String())
	c.output.ConfigurationChanged = true
	c.handleConsensusOutput(now, c.replica.Bootstrap(now, epoch, version.Index, state))
}

// Recover founds a new group with a higher epoch number from this daemon's active configuration, after
// a majority of the voters was lost permanently. Changes that were committed but have not reached this
// daemon are lost. It must be an operator's decision: if the old majority is alive, there are two
// groups.
func (c *Core) Recover(now time.Time) Output {
	epoch := consensus.Epoch{Number: c.store.Version().Epoch.Number + 1, Group: c.random.Uint64()}
	c.found(now, epoch, EventGroupRecovered)
	return c.takeOutput()
}
